package org.spruceridge.node;

import org.spruceridge.peer.PeerMonitor;

/** Determines the result of GET /healthz. The platform uses the result to route users to healthy nodes. */
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
     * A node that can reach the state service is healthy. A node that cannot is unhealthy if another node can reach the
     * service, or if this node is partitioned from all other nodes. During an outage that affects all nodes, every node
     * remains healthy.
     */
    boolean isHealthy() {
        boolean partitioned = nodeCount > 1 && !peers.anyPeerAlive();
        return stateHealth.isReachable() || !(partitioned || peers.anyPeerReachesStateService());
    }
}
