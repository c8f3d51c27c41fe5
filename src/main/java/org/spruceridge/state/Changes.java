package org.spruceridge.state;

import com.google.common.collect.ImmutableList;

/** The response to a watch: the changes in their order, and the revision from which to watch next. */
public record Changes(ImmutableList<Change> changes, long revision) {}
