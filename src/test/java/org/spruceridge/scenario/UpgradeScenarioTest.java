package org.spruceridge.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.spruceridge.net.Json;
import org.spruceridge.net.Response;
import org.spruceridge.sim.SimJobs;
import org.spruceridge.sim.SimulatedCluster;

/**
 * Rolling upgrades from the version in production to this version while the cluster serves requests. The deploy file
 * names the version in production. Nodes of that version run its own code, built from the repository's history.
 * {@link SimulatedCluster} checks the rules throughout.
 */
final class UpgradeScenarioTest {
    private static final String FEATURE_LEVEL_KEY = "feature-level";
    private final SimulatedCluster cluster = SimulatedCluster.withProductionVersion(3);

    private void awaitLeader() {
        cluster.awaitLeader(30);
    }

    /** Returns the names of all nodes, with the leader at this index and the other nodes in ascending order. */
    private List<String> nodesWithLeaderAt(int index) {
        List<String> nodes = new ArrayList<>(List.of("n0", "n1", "n2"));
        nodes.remove(cluster.leader());
        nodes.add(index, cluster.leader());
        return nodes;
    }

    private void upgradeAll(double intervalS) {
        for (String node : List.of("n0", "n1", "n2")) {
            cluster.nodes.upgrade(node, 3);
            cluster.loop.run(intervalS);
        }
        awaitLeader();
    }

    private boolean isFeatureLevelRaised() {
        return cluster.state.value(FEATURE_LEVEL_KEY) != null;
    }

    /** No task or completion is lost or duplicated, whether the leader is upgraded first, second or last. */
    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2})
    void rollingUpgradeLosesNoTask(int leaderIndex) {
        awaitLeader();
        cluster.submit(SimJobs.array(1, 2).put("expectS", 70.0));
        cluster.submit(SimJobs.array(2, 12).put("expectS", 6.0));
        cluster.await(() -> !cluster.completedTasks().isEmpty(), 40);
        for (String node : nodesWithLeaderAt(leaderIndex)) {
            cluster.nodes.upgrade(node, 3);
            cluster.loop.run(10);
        }
        cluster.verifyRecovery(200);
        assertEquals(14, cluster.taskStarts().size(), "each task must start once");
        cluster.await(this::isFeatureLevelRaised, 10);
    }

    /** Leaders of the old and new versions alternate. Each leader continues from the records of the other version. */
    @Test
    void leadershipMovesBetweenOldAndNewVersions() {
        awaitLeader();
        cluster.submit(SimJobs.array(1, 2).put("expectS", 120.0));
        cluster.submit(SimJobs.array(2, 20).put("expectS", 4.0));
        List<Boolean> leaderRanProductionVersion = new ArrayList<>();
        for (int i = 0; i < 6; i++) {
            cluster.loop.run(7);
            awaitLeader();
            String leader = cluster.leader();
            leaderRanProductionVersion.add(cluster.nodes.runsProductionVersion(leader));
            if (leader.equals("n2")) {
                cluster.nodes.crashLeader(12); // n2 keeps the old version
            } else if (cluster.nodes.runsProductionVersion(leader)) {
                cluster.nodes.upgrade(leader, 12);
            } else {
                cluster.nodes.downgrade(leader, 12);
            }
            awaitLeader();
            assertFalse(
                    isFeatureLevelRaised(), "the feature level must not be raised while a member runs the old version");
        }
        assertTrue(
                leaderRanProductionVersion.contains(true) && leaderRanProductionVersion.contains(false),
                "leaders must have run both versions; ran production version: " + leaderRanProductionVersion);
        cluster.verifyRecovery(240);
        assertEquals(22, cluster.taskStarts().size(), "each task must start once");
    }

    /**
     * Guards against a token of the new version that is higher than the term of a later leader of the old version.
     * Workers would ignore that leader.
     */
    @Test
    void workersAcceptOldLeaderAfterNewLeaderRaisedFencingTokens() {
        awaitLeader();
        for (String node : List.of("n0", "n1")) {
            cluster.nodes.upgrade(node, 1);
            cluster.loop.run(2);
        }
        awaitLeaderOfVersion(false);
        cluster.submit(SimJobs.array(1, 4).put("expectS", 100.0).put("cpus", 2.0));
        cluster.submit(SimJobs.array(2, 20).put("expectS", 4.0));
        cluster.await(() -> storedTerm("term") > storedTerm("leader"), 60);
        cluster.loop.run(SimulatedCluster.LEASE_S); // tokens are raised
        awaitLeaderOfVersion(true);
        cluster.verifyRecovery(240);
        assertEquals(24, cluster.taskStarts().size(), "each task must start once");
    }

    /** Crashes leaders until a node of the production version leads, or until one of the version under test leads. */
    private void awaitLeaderOfVersion(boolean isProductionVersion) {
        awaitLeader();
        for (int i = 0; i < 10 && cluster.nodes.runsProductionVersion(cluster.leader()) != isProductionVersion; i++) {
            cluster.nodes.crashLeader(5);
            awaitLeader();
        }
        assertEquals(isProductionVersion, cluster.nodes.runsProductionVersion(cluster.leader()));
    }

    private long storedTerm(String key) {
        return cluster.state.value(key).path("term").asLong();
    }

    /** A cancellation confirmed by one version stays in force under the next leader of the other version. */
    @Test
    void cancellationSurvivesLeaderVersionChange() {
        awaitLeader();
        cluster.submit(SimJobs.array(1, 4).put("expectS", 300.0));
        cluster.await(() -> cluster.runningTasks().size() == 4, 40);
        String oldLeader = cluster.leader();
        assertEquals("cancelled", cluster.cancel(cluster.follower(), "j-000001"));
        cluster.nodes.upgrade(oldLeader, 1);
        awaitLeader();
        cluster.await(() -> cluster.runningTasks().isEmpty(), 30);
        cluster.submit(SimJobs.array(2, 4).put("expectS", 300.0));
        cluster.await(() -> cluster.runningTasks().size() == 4, 40);
        for (String node : List.of("n0", "n1", "n2")) {
            if (cluster.nodes.runsProductionVersion(node)) {
                cluster.nodes.upgrade(node, 2);
            }
        }
        awaitLeader();
        assertEquals("cancelled", cluster.cancel(cluster.leader(), "j-000002"));
        cluster.verifyRecovery(120);
    }

    /** Old versions cannot read records of services, so services are rejected until every node is upgraded. */
    @Test
    void serviceIsAcceptedOnceEveryNodeIsUpgraded() {
        awaitLeader();
        cluster.nodes.upgrade("n0", 2);
        cluster.loop.run(8);
        cluster.nodes.upgrade("n1", 2);
        cluster.loop.run(8);
        Response refusal = cluster.request("n0", "POST", "/api/jobs", SimJobs.service(1, 3));
        assertEquals(503, refusal.status());
        assertTrue(refusal.retryAfterS() > 0, "the response must contain a retry delay");
        assertNull(cluster.state.value("job/j-000001"));
        cluster.nodes.upgrade("n2", 2);
        cluster.await(this::isFeatureLevelRaised, 30);
        assertEquals(201, cluster.submit("n1", SimJobs.service(1, 3)));
        cluster.await(() -> cluster.runningReplicaCount(1) == 3, 40);
        cluster.verifyRecovery(60);
    }

    /**
     * A node that crashes before its upgrade restarts with the old version. The feature level must not be raised until
     * this node is upgraded.
     */
    @Test
    void nodeRestartedWithOldVersionPreventsFeatureLevelIncrease() {
        awaitLeader();
        cluster.nodes.upgrade("n0", 2);
        cluster.nodes.upgrade("n1", 2);
        cluster.loop.run(10);
        cluster.nodes.downgrade("n2", 1);
        cluster.loop.run(20);
        assertFalse(isFeatureLevelRaised());
        cluster.nodes.upgrade("n2", 1);
        cluster.await(this::isFeatureLevelRaised, 30);
    }

    /**
     * The version that a node announced is no longer trusted once its peer heartbeats stop, because the node might
     * restart with the old version.
     */
    @Test
    void stoppedNodePreventsFeatureLevelIncrease() {
        awaitLeader();
        cluster.submit(SimJobs.array(1, 2).put("expectS", 300.0)); // launches workers that send heartbeats
        cluster.await(() -> cluster.runningTasks().size() == 2, 40);
        cluster.nodes.upgrade("n0", 1);
        cluster.nodes.upgrade("n1", 1);
        cluster.loop.run(8);
        cluster.nodes.downgrade("n0", 35);
        cluster.loop.run(5);
        cluster.nodes.upgrade("n2", 10);
        cluster.loop.run(25);
        assertEquals(
                "n1", cluster.leader(), "n1 must lead, because it has received heartbeats of n0 with the new version");
        assertFalse(isFeatureLevelRaised(), "the feature level must not be raised while n0 is down");
        cluster.loop.run(15);
        assertFalse(
                isFeatureLevelRaised(), "the feature level must not be raised after n0 restarted with the old version");
        cluster.nodes.upgrade("n0", 1);
        cluster.await(this::isFeatureLevelRaised, 30);
    }

    /**
     * A member whose peer heartbeats do not arrive might still run the old version, so the feature level must not be
     * raised.
     */
    @Test
    void partitionedMemberPreventsFeatureLevelIncrease() {
        awaitLeader();
        cluster.nodes.isolateFromPeers("n2");
        upgradeAll(8);
        cluster.loop.run(30);
        assertFalse(isFeatureLevelRaised());
        cluster.nodes.reconnectToPeers("n2");
        cluster.await(this::isFeatureLevelRaised, 10);
    }

    @Test
    void featureLevelIsRaisedAfterStateServiceOutage() {
        awaitLeader();
        cluster.nodes.upgrade("n0", 1);
        cluster.nodes.upgrade("n1", 1);
        cluster.loop.run(10);
        cluster.nodes.upgrade("n2", 1);
        cluster.state.startOutage(25);
        cluster.loop.run(20);
        assertFalse(isFeatureLevelRaised());
        cluster.await(this::isFeatureLevelRaised, 40);
    }

    /** The leader crashes at different times while it raises the feature level. */
    @ParameterizedTest
    @ValueSource(doubles = {0.2, 0.6, 1.0, 1.4, 1.8})
    void featureLevelIsRaisedDespiteLeaderCrash(double crashDelayS) {
        awaitLeader();
        upgradeAll(4);
        cluster.loop.run(crashDelayS);
        cluster.nodes.crashLeader(3);
        cluster.await(this::isFeatureLevelRaised, 40);
        assertEquals(201, cluster.submit("n1", SimJobs.service(1, 2)));
        cluster.verifyRecovery(60);
    }

    /** Nodes reject a feature level of a later version that they do not know. They stay up, but none of them leads. */
    @Test
    void unknownFeatureLevelPreventsAnyElection() {
        awaitLeader();
        upgradeAll(8);
        cluster.await(this::isFeatureLevelRaised, 20);
        cluster.submit(SimJobs.array(1, 1));
        cluster.state.put(FEATURE_LEVEL_KEY, Json.object().put("level", 9));
        cluster.nodes.crashLeader(2);
        cluster.loop.run(40);
        assertNull(cluster.leader());
        assertEquals(200, cluster.request("n0", "GET", "/healthz").status());
        assertEquals(200, cluster.request("n0", "GET", "/api/jobs/j-000001").status());
        cluster.state.put(FEATURE_LEVEL_KEY, Json.object().put("level", 2));
        awaitLeader();
    }

    /**
     * The production version wrote pages that are larger than the announced limits of the state service. The new
     * version must split these pages without losing records.
     */
    @Test
    void largePagesOfProductionVersionAreSplitBeforeLimitsDrop() {
        awaitLeader();
        cluster.submit(SimJobs.array(1, 320).put("cpus", 0.05).put("memGb", 0.1).put("expectS", 90.0));
        cluster.await(() -> cluster.runningTasks().size() == 320, 40);
        assertTrue(
                cluster.state.takeLargestValueBytes() > 2048,
                "the production version must write values larger than 2048 bytes");
        upgradeAll(5);
        cluster.await(this::isFeatureLevelRaised, 20);
        cluster.loop.run(5);
        for (String key : cluster.state.keys("bound/")) {
            assertTrue(
                    Json.bytes(cluster.state.value(key)).length <= 2048, "the page must be at most 2048 bytes: " + key);
        }
        cluster.lowerLimits();
        cluster.verifyRecovery(240);
        assertEquals(320, cluster.taskStarts().size(), "each task must start once");
        assertEquals(0, cluster.state.rejectedTransactionCount());
    }

    /**
     * The production version wrote pages that are larger than the announced limits of the state service. The new
     * version must split these pages even if the limits become lower within 1 s of its first election, when the pages
     * might not be split yet.
     */
    @ParameterizedTest
    @ValueSource(doubles = {0, 0.1, 0.3, 1})
    void largePagesOfProductionVersionAreSplitWhileLimitsDrop(double limitDropDelayS) {
        awaitLeader();
        cluster.submit(SimJobs.array(1, 320).put("cpus", 0.05).put("memGb", 0.1).put("expectS", 60.0));
        cluster.await(() -> cluster.runningTasks().size() == 320, 40);
        for (String node : List.of("n0", "n1", "n2")) {
            cluster.nodes.crash(node);
        }
        cluster.nodes.upgrade("n0", 0);
        cluster.nodes.upgrade("n1", 0);
        cluster.nodes.upgrade("n2", 0);
        awaitLeader();
        cluster.loop.run(limitDropDelayS);
        cluster.lowerLimits();
        cluster.verifyRecovery(240);
        assertEquals(0, cluster.state.rejectedTransactionCount());
        assertNotNull(cluster.state.value(FEATURE_LEVEL_KEY));
    }
}
