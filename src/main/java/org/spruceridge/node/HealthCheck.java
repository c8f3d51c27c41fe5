package org.spruceridge.node;

import org.spruceridge.peer.PeerMonitor;

/** Decides the answer to GET /healthz, by which the platform sends users to this node or to another. */
final class HealthCheck {
    private final int nodeCount;
    private final PeerMonitor peers;
    private final StateServiceHealth stateHealth;

    HealthCheck(int nodeCount, PeerMonitor peers, StateServiceHealth stateHealth) {
        this.nodeCount = nodeCount;
        this.peers = peers;
        this.stateHealth = stateHealth;
    }

    /**
     * False if the state service is unreachable for this node while it serves another node, or while this node is
     * partitioned from all others. In an outage that all nodes share, every node stays healthy.
     */
    boolean isHealthy() {
        boolean partitioned = nodeCount > 1 && !peers.anyPeerAlive();
        return stateHealth.isReachable() || !(partitioned || peers.anyPeerReachesStateService());
    }
}
