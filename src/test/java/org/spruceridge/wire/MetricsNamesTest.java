package org.spruceridge.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.spruceridge.sim.SimJobs;
import org.spruceridge.sim.SimulatedCluster;

/** The exact names of the metrics in the response to {@code GET /metrics}. Tools of operators read these names. */
final class MetricsNamesTest {
    private static final List<String> NAMES_ON_EVERY_NODE = List.of(
            "cluster.featureLevel",
            "cluster.versions.n0",
            "cluster.versions.n1",
            "cluster.versions.n2",
            "commits.count",
            "commits.maxMs",
            "commits.p50Ms",
            "commits.p99Ms",
            "failovers.count",
            "failovers.lastS",
            "failovers.longestS",
            "heartbeatOutcomes.answered",
            "heartbeatOutcomes.answeredDuringFailover",
            "heartbeatOutcomes.answeredWithStops",
            "heartbeatOutcomes.newerTerm",
            "heartbeatOutcomes.noLeader",
            "heartbeatOutcomes.redirected",
            "heartbeatOutcomes.responseWithheld",
            "heartbeatOutcomes.staleView",
            "heartbeatOutcomes.unreadable",
            "heartbeats.count",
            "heartbeats.maxMs",
            "heartbeats.p50Ms",
            "heartbeats.p99Ms",
            "scheduling_cycles.count",
            "scheduling_cycles.maxMs",
            "scheduling_cycles.p50Ms",
            "scheduling_cycles.p99Ms",
            "state.count",
            "state.maxMs",
            "state.p50Ms",
            "state.p99Ms",
            "users.count",
            "users.maxMs",
            "users.p50Ms",
            "users.p99Ms");
    private static final Set<String> NAMES_ON_LEADER_ONLY =
            Set.of("leader.oldestUnprovenStopS", "leader.term", "leader.viewAgeS");

    private final SimulatedCluster cluster = new SimulatedCluster(3);

    @BeforeEach
    void runOneJob() {
        cluster.loop.run(5);
        cluster.submit(SimJobs.array(1, 1));
        cluster.await(() -> cluster.poll("j-000001").equals("done"), 100);
    }

    private Set<String> names(String node) {
        Set<String> names = new TreeSet<>();
        collect("", cluster.metrics(node), names);
        return names;
    }

    /** Adds the dotted path of each value that is not a JSON object to {@code names}. */
    private static void collect(String path, JsonNode node, Set<String> names) {
        for (Map.Entry<String, JsonNode> field : node.properties()) {
            String name = path + field.getKey();
            if (field.getValue().isObject()) {
                collect(name + ".", field.getValue(), names);
            } else {
                names.add(name);
            }
        }
    }

    @Test
    void followerReportsExactlyExpectedMetricNames() {
        assertEquals(new TreeSet<>(NAMES_ON_EVERY_NODE), names(cluster.follower()));
    }

    @Test
    void leaderReportsExactlyExpectedMetricNames() {
        Set<String> expected = new TreeSet<>(NAMES_ON_EVERY_NODE);
        expected.addAll(NAMES_ON_LEADER_ONLY);
        assertEquals(expected, names(cluster.leader()));
    }

    /** Checks the values of five metrics, because swapped names would leave the set of names unchanged. */
    @Test
    void selectedMetricsHaveExpectedValues() {
        JsonNode leader = cluster.metrics(cluster.leader());
        assertEquals(2, leader.path("cluster").path("featureLevel").asInt());
        assertEquals(1, leader.path("leader").path("term").asInt());
        assertEquals(1, leader.path("failovers").path("count").asInt());
        long redirected = cluster.metrics(cluster.follower())
                .path("heartbeatOutcomes")
                .path("redirected")
                .asLong();
        cluster.request(cluster.follower(), "POST", "/hello", SimJobs.heartbeat("i-000099", 1));
        assertEquals(
                redirected + 1,
                cluster.metrics(cluster.follower())
                        .path("heartbeatOutcomes")
                        .path("redirected")
                        .asLong());
        cluster.request(cluster.leader(), "POST", "/hello", new byte[0]);
        assertEquals(
                1,
                cluster.metrics(cluster.leader())
                        .path("heartbeatOutcomes")
                        .path("unreadable")
                        .asInt());
    }
}
