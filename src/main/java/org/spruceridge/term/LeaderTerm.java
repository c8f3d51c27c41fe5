package org.spruceridge.term;

import org.spruceridge.upgrade.FeatureLevel;
import org.spruceridge.upgrade.LevelRecord;

/**
 * A won election: the term, the stamp of the leader key that guards every write, when the win was known, and the cluster
 * feature level that was on record at that moment.
 */
public record LeaderTerm(long term, long leaderRevision, long since, LevelRecord level) {
    /** A term of a cluster in which all nodes have this version. */
    public LeaderTerm(long term, long leaderRevision, long since) {
        this(term, leaderRevision, since, new LevelRecord(FeatureLevel.SUPPORTED, 1));
    }
}
