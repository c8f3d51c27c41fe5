package org.spruceridge.node;

import java.util.Optional;
import org.spruceridge.election.Election;
import org.spruceridge.peer.PeerMonitor;

/** Determines which node is the leader. */
final class LeaderLocator {
    private final Election election;
    private final PeerMonitor peers;
    private final StateServiceHealth stateHealth;
    private final String ownName;

    LeaderLocator(Election election, PeerMonitor peers, StateServiceHealth stateHealth, String ownName) {
        this.election = election;
        this.peers = peers;
        this.stateHealth = stateHealth;
        this.ownName = ownName;
    }

    /**
     * The host name of the leader, which can be this node; empty if the leader is unknown. Only recent sources are
     * used, because a node that is partitioned from the others must neither keep workers nor redirect them to a former
     * leader.
     */
    Optional<String> leader() {
        return stateHealth.isReachable() ? election.leaderName() : peers.leaderHostName();
    }

    /** The host name of the leader; empty if this node leads or the leader is unknown. */
    Optional<String> leaderOnOtherNode() {
        return leader().filter(name -> !name.equals(ownName));
    }
}
