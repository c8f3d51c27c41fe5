package org.spruceridge.state;

import com.google.common.collect.ImmutableList;

/**
 * All entries whose keys have a prefix.
 *
 * @param revision the revision up to which the entries contain all changes; later changes can be missing
 * @param bytes the total size of the response bodies
 */
public record Listing(ImmutableList<Entry> entries, long revision, long bytes) {}
