package org.spruceridge.state;

import com.google.common.collect.ImmutableList;

/** What a watch returned. */
public record Changes(ImmutableList<Change> changes, long revision) {}
