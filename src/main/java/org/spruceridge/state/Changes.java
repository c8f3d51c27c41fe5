package org.spruceridge.state;

import com.google.common.collect.ImmutableList;

/** The result of a watch: the changes in order, and the revision after which the next watch starts. */
public record Changes(ImmutableList<Change> changes, long revision) {}
