package org.spruceridge.state;

import com.google.common.collect.ImmutableList;

/**
 * All entries under a prefix.
 *
 * @param revision changes after it may be missing from the entries
 * @param bytes the size of the responses
 */
public record Listing(ImmutableList<Entry> entries, long revision, long bytes) {}
