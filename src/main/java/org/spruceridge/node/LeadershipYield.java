package org.spruceridge.node;

import java.util.Optional;
import org.spruceridge.config.Settings;
import org.spruceridge.election.Election;
import org.spruceridge.leader.Leader;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.peer.PeerMonitor;

/**
 * Resigns leadership when workers reach other nodes but not this one. Otherwise all worker leases would expire, because the
 * other nodes keep redirecting the workers to this one.
 */
final class LeadershipYield {
    /**
     * After a resignation, this many leases pass before the next. A single worker that receives no answers moves from node
     * to node, and would make each leader in turn resign, without end.
     */
    private static final double REELECTION_COOLDOWN_LEASES = 10;

    private final Loop loop;
    private final Election election;
    private final PeerMonitor peers;
    private final CurrentLeader currentLeader;
    private final WorkerReachability reachability;
    private final long cooldownNanos;
    private long cooldownUntil = Long.MIN_VALUE;

    LeadershipYield(
            Loop loop,
            Settings settings,
            Election election,
            PeerMonitor peers,
            CurrentLeader currentLeader,
            WorkerReachability reachability) {
        this.loop = loop;
        this.election = election;
        this.peers = peers;
        this.currentLeader = currentLeader;
        this.reachability = reachability;
        this.cooldownNanos =
                Durations.nanos(REELECTION_COOLDOWN_LEASES * settings.workers().leaseS());
    }

    /** Called once a second. */
    void resignIfUnreachable() {
        long now = loop.nanos();
        if (isUnreachableLeader() && now >= cooldownUntil) {
            cooldownUntil = now + cooldownNanos;
            election.resign("unreachable-for-workers");
        }
    }

    private boolean isUnreachableLeader() {
        Optional<Leader> leader = currentLeader.get();
        return leader.isPresent()
                && leader.get().termAgeNanos() > reachability.maxSilenceNanos()
                && !reachability.isReachable()
                && peers.anyPeerReceivesWorkerHeartbeats();
    }
}
