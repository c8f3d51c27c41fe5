package org.spruceridge.node;

import java.util.Optional;
import org.spruceridge.config.Settings;
import org.spruceridge.election.Election;
import org.spruceridge.leader.Leader;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.peer.PeerMonitor;

/**
 * Resigns leadership when workers can reach other nodes but not this node. Without the resignation, all worker leases
 * would expire, because the other nodes would keep redirecting the workers to this node.
 */
final class UnreachableLeaderResignation {
    /**
     * The minimum time between two resignations of this node, in worker lease durations. A single worker that receives
     * no responses moves from node to node. Without the minimum time, that worker would make one leader after the other
     * resign endlessly.
     */
    private static final double REELECTION_COOLDOWN_LEASES = 10;

    private final Loop loop;
    private final Election election;
    private final PeerMonitor peers;
    private final CurrentLeader currentLeader;
    private final WorkerReachability reachability;
    private final long cooldownNanos;
    private long cooldownUntil = Long.MIN_VALUE;

    UnreachableLeaderResignation(
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

    /**
     * Resigns if this node leads, workers reach other nodes but not this node, and the cooldown has passed. Called
     * about once a second.
     */
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
