package org.spruceridge.term;

import org.spruceridge.upgrade.FeatureLevel;
import org.spruceridge.upgrade.StoredFeatureLevel;

/**
 * A won election: the term, the stamp of the leader key that guards every write, when the win was known, and the cluster
 * feature level that was on record at that moment.
 */
public record LeaderTerm(long term, long leaderRevision, long electedAtNanos, StoredFeatureLevel featureLevel) {
    /** A term of a cluster in which all nodes have this version. */
    public LeaderTerm(long term, long leaderRevision, long electedAtNanos) {
        this(term, leaderRevision, electedAtNanos, new StoredFeatureLevel(FeatureLevel.SUPPORTED, 1));
    }
}
