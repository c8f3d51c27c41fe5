package org.spruceridge.state;

import com.google.common.collect.ImmutableList;

/**
 * All entries under a prefix; every change after {@code revision} may be missing from them.
 *
 * @param bytes the size of the answers that brought them
 */
public record Listing(ImmutableList<Entry> entries, long revision, long bytes) {}
