package org.spruceridge.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import org.spruceridge.net.Json;

/** The settings that the platform would pass to the nodes of a simulated cluster. */
final class NodeSettings {
    private final List<String> nodeNames;
    private final double teamCpus;
    private final int maxSockets;
    private final boolean announcesLowerLimits;

    /** {@code teamCpus} is the CPU quota of the only team, and {@code maxSockets} is the socket limit of each node. */
    NodeSettings(List<String> nodeNames, double teamCpus, int maxSockets, boolean announcesLowerLimits) {
        this.nodeNames = nodeNames;
        this.teamCpus = teamCpus;
        this.maxSockets = maxSockets;
        this.announcesLowerLimits = announcesLowerLimits;
    }

    /** Returns the settings of the node with this name. */
    ObjectNode of(String name) {
        ObjectNode root = Json.object()
                .put("host_name", name)
                .put("domain", "z1")
                .put("serve_on", SimulatedCluster.address(name).toString())
                .put("peer_listen", "10.0.1.1:1");
        var members = root.putArray("members");
        for (String other : nodeNames) {
            if (!other.equals(name)) {
                members.addObject().put("host_name", other).put("domain", "z1").put("peer_addr", "10.0.1.1:1");
            }
        }
        root.putObject("endpoints")
                .put("state", SimulatedCluster.STATE_ADDRESS.toString())
                .put("cloud", SimulatedCluster.CLOUD_ADDRESS.toString());
        ObjectNode facts = root.putObject("facts");
        facts.putArray("zones").add("z1").add("z2");
        facts.putArray("teams").addObject().put("name", "red").put("cpus", 8).put("cpus_max", teamCpus);
        facts.putObject("workers")
                .put("report_s", SimulatedCluster.HEARTBEAT_INTERVAL_S)
                .put("lease_s", SimulatedCluster.LEASE_S)
                .put("cancel_s", SimulatedCluster.CANCELLATION_DEADLINE_S);
        ObjectNode limits = facts.putObject("state")
                .put("rps", SimulatedCluster.STATE_RPS)
                .put("write_rps", SimulatedCluster.STATE_WRITE_RPS)
                .put("value_kb", SimulatedCluster.VALUE_KB)
                .put("txn_ops", 12);
        if (announcesLowerLimits) {
            limits.putObject("next")
                    .put("write_rps", SimulatedCluster.NEXT_WRITE_RPS)
                    .put("value_kb", SimulatedCluster.NEXT_VALUE_KB)
                    .put("txn_ops", SimulatedCluster.NEXT_TXN_OPS);
        }
        facts.putObject("cloud").put("rps", SimulatedCluster.CLOUD_RPS).put("list_lag_s", 2);
        facts.putObject("resources").put("core_share", 1).put("mem_mb", 200).put("max_sockets", maxSockets);
        return root;
    }
}
