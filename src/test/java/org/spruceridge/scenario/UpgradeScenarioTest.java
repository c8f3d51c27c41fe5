package org.spruceridge.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.spruceridge.net.Json;
import org.spruceridge.net.Response;
import org.spruceridge.sim.SimulatedCluster;

/**
 * The version in production, as the deploy file names it, is replaced node by node while it serves. The old nodes run its
 * own code, built from the history. {@link SimulatedCluster} looks after the rules all the while.
 */
final class UpgradeScenarioTest {
    private static final String LEVEL = "feature-level";
    private final SimulatedCluster cluster = SimulatedCluster.inProduction(3);

    private void lead() {
        cluster.until(() -> cluster.leader() != null, 30);
    }

    /** The nodes, the leader in this place; the others keep their order. */
    private List<String> orderWithLeaderAt(int place) {
        List<String> order = new ArrayList<>(List.of("n0", "n1", "n2"));
        order.remove(cluster.leader());
        order.add(place, cluster.leader());
        return order;
    }

    private void upgradeAll(double apartS) {
        for (String node : List.of("n0", "n1", "n2")) {
            cluster.upgrade(node, 3);
            cluster.loop.run(apartS);
        }
        lead();
    }

    private boolean raised() {
        return cluster.state.value(LEVEL) != null;
    }

    /** Neither a task nor a mark of a finished one is lost or doubled, whenever in the roll the leader has its turn. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void rollingUpgradeLosesNoTask(int leadersTurn) {
        lead();
        cluster.submit(SimulatedCluster.job(1, 2).put("expectS", 70.0));
        cluster.submit(SimulatedCluster.job(2, 12).put("expectS", 6.0));
        cluster.until(() -> !cluster.completed().isEmpty(), 40);
        for (String node : orderWithLeaderAt(leadersTurn)) {
            cluster.upgrade(node, 3);
            cluster.loop.run(10);
        }
        cluster.settle(200);
        assertEquals(14, cluster.starts().size(), "each task started once");
        cluster.until(this::raised, 10);
    }

    /** Old and new take the lead from each other: what one leaves, the other goes on with. */
    @Test
    void leadershipMovesBetweenOldAndNewVersions() {
        lead();
        cluster.submit(SimulatedCluster.job(1, 2).put("expectS", 120.0));
        cluster.submit(SimulatedCluster.job(2, 20).put("expectS", 4.0));
        List<Boolean> versions = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            cluster.loop.run(7);
            lead();
            String leader = cluster.leader();
            versions.add(cluster.onProduction(leader));
            if (leader.equals("n2")) {
                cluster.crashLeader(12); // it stays old
            } else if (cluster.onProduction(leader)) {
                cluster.upgrade(leader, 12);
            } else {
                cluster.downgrade(leader, 12);
            }
            lead();
            assertFalse(raised(), "an old node is among the members");
        }
        assertTrue(versions.contains(true) && versions.contains(false), "both versions led: " + versions);
        cluster.settle(240);
        assertEquals(22, cluster.starts().size(), "each task started once");
    }

    /** A cancellation that one version confirmed holds under the next leader of the other. */
    @Test
    void cancellationSurvivesChangeOfVersion() {
        lead();
        cluster.submit(SimulatedCluster.job(1, 4).put("expectS", 300.0));
        cluster.until(() -> cluster.running().size() == 4, 40);
        String old = cluster.leader();
        assertEquals("cancelled", cluster.cancel(cluster.follower(), "j-000001"));
        cluster.upgrade(old, 1);
        lead();
        cluster.until(() -> cluster.running().isEmpty(), 30);
        cluster.submit(SimulatedCluster.job(2, 4).put("expectS", 300.0));
        cluster.until(() -> cluster.running().size() == 4, 40);
        for (String node : List.of("n0", "n1", "n2")) {
            if (cluster.onProduction(node)) {
                cluster.upgrade(node, 2);
            }
        }
        lead();
        assertEquals("cancelled", cluster.cancel(cluster.leader(), "j-000002"));
        cluster.settle(120);
    }

    /** A service's record would be unreadable to an old node, so it is taken only when there is none left. */
    @Test
    void serviceIsAcceptedOnceEveryNodeIsUpgraded() {
        lead();
        cluster.upgrade("n0", 2);
        cluster.loop.run(8);
        cluster.upgrade("n1", 2);
        cluster.loop.run(8);
        Response refusal = cluster.ask("n0", "POST", "/api/jobs", SimulatedCluster.service(1, 3));
        assertEquals(503, refusal.status());
        assertTrue(refusal.retryAfterS() > 0, "the user is told when to come back");
        assertNull(cluster.state.value("job/j-000001"));
        cluster.upgrade("n2", 2);
        cluster.until(this::raised, 30);
        assertEquals(201, cluster.submit("n1", SimulatedCluster.service(1, 3)));
        cluster.until(() -> cluster.replicas(1) == 3, 40);
        cluster.settle(60);
    }

    /** A process that dies before its turn comes back old: the level waits for it, however often it was heard. */
    @Test
    void nodeRestartedWithOldVersionKeepsFeatureLevel() {
        lead();
        cluster.upgrade("n0", 2);
        cluster.upgrade("n1", 2);
        cluster.loop.run(10);
        cluster.downgrade("n2", 1);
        cluster.loop.run(20);
        assertFalse(raised());
        cluster.upgrade("n2", 1);
        cluster.until(this::raised, 30);
    }

    /** What a node last said counts only as long as it is heard: it may be coming back with the old version. */
    @Test
    void stoppedNodeKeepsFeatureLevelUnchanged() {
        lead();
        cluster.submit(SimulatedCluster.job(1, 2).put("expectS", 300.0)); // so that workers report to the leader
        cluster.until(() -> cluster.running().size() == 2, 40);
        cluster.upgrade("n0", 1);
        cluster.upgrade("n1", 1);
        cluster.loop.run(8);
        cluster.downgrade("n0", 35);
        cluster.loop.run(5);
        cluster.upgrade("n2", 10);
        cluster.loop.run(25);
        assertEquals("n1", cluster.leader(), "it has heard n0 with the new version");
        assertFalse(raised(), "n0 is down");
        cluster.loop.run(15);
        assertFalse(raised(), "and came back old");
        cluster.upgrade("n0", 1);
        cluster.until(this::raised, 30);
    }

    /** A member that nobody hears may be an old one. */
    @Test
    void partitionedMemberKeepsFeatureLevelUnchanged() {
        lead();
        cluster.cutPeers("n2");
        upgradeAll(8);
        cluster.loop.run(30);
        assertFalse(raised());
        cluster.mendPeers("n2");
        cluster.until(this::raised, 10);
    }

    @Test
    void featureLevelIsRaisedAfterOutage() {
        lead();
        cluster.upgrade("n0", 1);
        cluster.upgrade("n1", 1);
        cluster.loop.run(10);
        cluster.upgrade("n2", 1);
        cluster.state.outage(25);
        cluster.loop.run(20);
        assertFalse(raised());
        cluster.until(this::raised, 40);
    }

    /** The leader that raises the level ends at that moment, at whatever step of it. */
    @ParameterizedTest
    @ValueSource(doubles = {0.2, 0.6, 1.0, 1.4, 1.8})
    void leaderCrashWhileRaisingFeatureLevelLosesNothing(double afterS) {
        lead();
        upgradeAll(4);
        cluster.loop.run(afterS);
        cluster.crashLeader(3);
        cluster.until(this::raised, 40);
        assertEquals(201, cluster.submit("n1", SimulatedCluster.service(1, 2)));
        cluster.settle(60);
    }

    /** A record that a later version wrote is not guessed at: the nodes stay up, and none of them leads. */
    @Test
    void unknownFeatureLevelPreventsAnyElection() {
        lead();
        upgradeAll(8);
        cluster.until(this::raised, 20);
        cluster.submit(SimulatedCluster.job(1, 1));
        cluster.state.put(LEVEL, Json.object().put("level", 9));
        cluster.crashLeader(2);
        cluster.loop.run(40);
        assertNull(cluster.leader());
        assertEquals(200, cluster.ask("n0", "GET", "/healthz", (JsonNode) null).status());
        assertEquals(
                200,
                cluster.ask("n0", "GET", "/api/jobs/j-000001", (JsonNode) null).status());
        cluster.state.put(LEVEL, Json.object().put("level", 2));
        lead();
    }

    /** Pages that production left larger than the limits to come are split, and nothing on them is lost. */
    @Test
    void largePagesOfProductionAreSplitBeforeLimitsDrop() {
        lead();
        cluster.submit(
                SimulatedCluster.job(1, 320).put("cpus", 0.05).put("memGb", 0.1).put("expectS", 90.0));
        cluster.until(() -> cluster.running().size() == 320, 40);
        assertTrue(cluster.state.largestValue() > 2048, "production writes large pages");
        upgradeAll(5);
        cluster.until(this::raised, 20);
        cluster.loop.run(5);
        for (String key : cluster.state.keys("bound/")) {
            assertTrue(Json.bytes(cluster.state.value(key)).length <= 2048, key);
        }
        cluster.lowerLimits();
        cluster.settle(240);
        assertEquals(320, cluster.starts().size(), "each task started once");
        assertEquals(0, cluster.state.rejected());
    }

    /** The same when they fall in the middle of the failover, before the pages could be split. */
    @ParameterizedTest
    @ValueSource(doubles = {0, 0.1, 0.3, 1})
    void largePagesOfProductionAreSplitWhileLimitsDrop(double afterS) {
        lead();
        cluster.submit(
                SimulatedCluster.job(1, 320).put("cpus", 0.05).put("memGb", 0.1).put("expectS", 60.0));
        cluster.until(() -> cluster.running().size() == 320, 40);
        for (String node : List.of("n0", "n1", "n2")) {
            cluster.crash(node);
        }
        cluster.upgrade("n0", 0);
        cluster.upgrade("n1", 0);
        cluster.upgrade("n2", 0);
        lead();
        cluster.loop.run(afterS);
        cluster.lowerLimits();
        cluster.settle(240);
        assertEquals(0, cluster.state.rejected());
        assertNotNull(cluster.state.value(LEVEL));
    }
}
