package org.spruceridge.term;

import org.spruceridge.upgrade.FeatureLevel;
import org.spruceridge.upgrade.StoredFeatureLevel;

/**
 * A term that this node won.
 *
 * @param term the number of the term, which is the fencing token of its commands
 * @param leaderRevision the modRevision of the leader key, on which every write of the term is conditional
 * @param electedAtNanos when this node learned that it won
 * @param featureLevel the cluster feature level at that moment
 */
public record LeaderTerm(long term, long leaderRevision, long electedAtNanos, StoredFeatureLevel featureLevel) {
    /** A term of a cluster in which all nodes have this version. */
    public LeaderTerm(long term, long leaderRevision, long electedAtNanos) {
        this(term, leaderRevision, electedAtNanos, new StoredFeatureLevel(FeatureLevel.SUPPORTED, 1));
    }
}
