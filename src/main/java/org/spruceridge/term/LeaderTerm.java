package org.spruceridge.term;

import org.spruceridge.upgrade.FeatureLevel;
import org.spruceridge.upgrade.StoredFeatureLevel;

/**
 * A term that this node won.
 *
 * @param term the term number, which is also the first fencing token of the term's commands
 * @param election the number of the election, which distinguishes the attempt numbers of the term from all others
 * @param leaderRevision the modRevision of the leader key, on which every write of the term is conditional
 * @param electedAtNanos the time at which this node learned that it had won
 * @param featureLevel the cluster feature level at the time of the election
 */
public record LeaderTerm(
        long term, long election, long leaderRevision, long electedAtNanos, StoredFeatureLevel featureLevel) {
    /**
     * Creates a term at the highest feature level that this version supports, as in a cluster of nodes of this version,
     * in which no earlier leader reserved fencing tokens.
     */
    public LeaderTerm(long term, long leaderRevision, long electedAtNanos) {
        this(term, term, leaderRevision, electedAtNanos, new StoredFeatureLevel(FeatureLevel.SUPPORTED, 1));
    }
}
