package org.spruceridge.node;

import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import org.spruceridge.api.RecentCancellations;
import org.spruceridge.election.Election;
import org.spruceridge.leader.Leader;
import org.spruceridge.net.Loop;
import org.spruceridge.peer.MemberVersion;
import org.spruceridge.peer.PeerHeartbeat;
import org.spruceridge.peer.PeerReceipts;
import org.spruceridge.progress.ProgressReport;

/** Creates the heartbeat that this node sends to its peers every second. */
final class PeerHeartbeatSource {
    private final Loop loop;
    private final String ownHostName;
    private final Election election;
    private final CurrentLeader currentLeader;
    private final StateServiceHealth stateHealth;
    private final WorkerReachability reachability;
    private final RecentCancellations cancellations;
    private final MemberVersion ownVersion = MemberVersion.own();

    PeerHeartbeatSource(
            Loop loop,
            String hostName,
            Election election,
            CurrentLeader currentLeader,
            StateServiceHealth stateHealth,
            WorkerReachability reachability,
            RecentCancellations cancellations) {
        this.loop = loop;
        this.ownHostName = hostName;
        this.election = election;
        this.currentLeader = currentLeader;
        this.stateHealth = stateHealth;
        this.reachability = reachability;
        this.cancellations = cancellations;
    }

    /**
     * Returns a heartbeat with the current state. The term in the heartbeat is 0 while this node is not the leader.
     *
     * @param receipts what this node has received from its peers
     */
    PeerHeartbeat next(PeerReceipts receipts) {
        Optional<Leader> leader = currentLeader.get().filter(current -> election.isLeader());
        return new PeerHeartbeat(
                ownHostName,
                stateHealth.hasServedAndIsReachable(),
                reachability.isReachable(),
                leader.map(Leader::term).orElse(0L),
                leader.map(Leader::progressReport).orElseGet(() -> ProgressReport.empty(loop.nanos())),
                cancellations.recentJobIds(),
                ownVersion,
                loop.nanos(),
                leader.isPresent() ? receipts : new PeerReceipts(receipts.leaderTerm(), ImmutableMap.of()));
    }
}
