package org.spruceridge.state;

import com.google.common.collect.ImmutableList;

/**
 * All entries whose keys have a prefix.
 *
 * @param revision the entries may lack changes that were made after this revision
 * @param bytes the total size of the response bodies
 */
public record Listing(ImmutableList<Entry> entries, long revision, long bytes) {}
