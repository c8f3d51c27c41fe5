package org.spruceridge.node;

import com.fasterxml.jackson.databind.node.ObjectNode;
import org.spruceridge.net.Latencies;
import org.spruceridge.peer.MemberVersion;
import org.spruceridge.peer.PeerMonitor;
import org.spruceridge.term.LeaderMetrics;
import org.spruceridge.upgrade.ClusterFeatureLevel;

/** Renders the response to GET /metrics. */
final class MetricsEndpoint {
    private final String ownHostName;
    private final Latencies latencies;
    private final ClusterFeatureLevel clusterFeatureLevel;
    private final PeerMonitor peers;
    private final LeaderMetrics leaderMetrics;
    private final CurrentLeader currentLeader;
    private final MemberVersion ownVersion;

    MetricsEndpoint(
            String hostName,
            MemberVersion ownVersion,
            Latencies latencies,
            ClusterFeatureLevel clusterFeatureLevel,
            PeerMonitor peers,
            LeaderMetrics leaderMetrics,
            CurrentLeader currentLeader) {
        this.ownHostName = hostName;
        this.ownVersion = ownVersion;
        this.latencies = latencies;
        this.clusterFeatureLevel = clusterFeatureLevel;
        this.peers = peers;
        this.leaderMetrics = leaderMetrics;
        this.currentLeader = currentLeader;
    }

    ObjectNode render() {
        ObjectNode out = latencies.toJson();
        ObjectNode cluster = out.putObject("cluster")
                .put("featureLevel", clusterFeatureLevel.highestKnown().number());
        ObjectNode versions = cluster.putObject("versions").put(ownHostName, ownVersion.name());
        peers.versionsByHost().forEach((host, version) -> versions.put(host, version.name()));
        leaderMetrics.writeTo(out);
        currentLeader.get().ifPresent(leader -> leader.writeTo(out.putObject("leader")));
        return out;
    }
}
