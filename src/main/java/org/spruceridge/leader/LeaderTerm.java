package org.spruceridge.leader;

/** A won election: the term, the stamp of the leader key that guards every write, and when the win was known. */
public record LeaderTerm(long term, long leaderStamp, long since) {}
