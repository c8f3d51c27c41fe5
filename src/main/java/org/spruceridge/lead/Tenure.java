package org.spruceridge.lead;

/** A won election: the term, the stamp of the leader key that guards every write, and when the win was known. */
public record Tenure(long term, long leaderStamp, long since) {}
