package org.spruceridge.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Json;
import org.spruceridge.net.Response;
import org.spruceridge.sim.SimJobs;
import org.spruceridge.sim.SimNet.Delivery;
import org.spruceridge.sim.SimWorker;
import org.spruceridge.sim.SimulatedCluster;

/**
 * Replicas of services run until the job is cancelled, on any machine with capacity. No replica runs twice at the same
 * time.
 */
final class ServiceScenarioTest {
    private static final String SERVICE_ID = "j-000001";
    private final SimulatedCluster cluster = SimulatedCluster.withAnnouncedLowerLimits(3);

    private void startService(int replicas) {
        cluster.awaitLeader(10);
        cluster.await(() -> cluster.state.value("feature-level") != null, 10);
        assertEquals(201, cluster.submit(SimJobs.service(1, replicas)));
        cluster.await(() -> cluster.runningReplicaCount(1) == replicas, 40);
    }

    private SimWorker workerOf(String replica) {
        String machine = cluster.runningTasks().get(replica);
        return cluster.cloud.workers().stream()
                .filter(w -> w.name().equals(machine))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void serviceRunsUntilCancelledAndIsNeverDone() throws BadMessageException {
        startService(3);
        cluster.loop.run(120);
        Response response = cluster.request("n0", "GET", "/api/jobs/" + SERVICE_ID);
        JsonNode body = Json.object(response.body());
        assertEquals("running", body.path("stage").asText());
        assertEquals(3, body.path("running").asInt());
        assertEquals(0, body.path("done").asInt());
        assertEquals(3, cluster.taskStarts().size(), "each replica must start once, because no replica is stopped");
        assertEquals(200, cluster.submit(SimJobs.service(1, 3)), "a repeated submission must be idempotent");
        assertEquals("cancelled", cluster.cancel("n1", SERVICE_ID));
        cluster.await(() -> cluster.runningReplicaCount(1) == 0, SimulatedCluster.CANCELLATION_DEADLINE_S);
        cluster.verifyRecovery(60);
    }

    /** A replica that its worker reports as done is started again, by the same leader or by the next one. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void endedReplicaIsStartedAgain(boolean underNextLeader) {
        startService(2);
        SimWorker worker = workerOf(SERVICE_ID + "/0");
        worker.endReplicas("done");
        if (underNextLeader) {
            cluster.nodes.crashLeader(3);
        }
        cluster.await(() -> cluster.runningReplicaCount(1) < 2, 10);
        cluster.await(() -> cluster.runningReplicaCount(1) == 2, 60);
        cluster.loop.run(10);
        assertEquals("running", cluster.poll(SERVICE_ID));
        cluster.verifyRecovery(60);
    }

    /** If all tasks fail on one machine, replicas run on other machines, and few are started on the faulty machine. */
    @Test
    void fewReplicasStartOnFaultyMachine() {
        startService(2);
        SimWorker faultyWorker = workerOf(SERVICE_ID + "/0");
        faultyWorker.setBehaviour(SimWorker.Behaviour.FAILS);
        faultyWorker.endReplicas("error");
        cluster.loop.run(30);
        long startsOnFaultyMachine = cluster.taskStarts().stream()
                .filter(s -> s.endsWith("@" + faultyWorker.name()))
                .count();
        assertTrue(
                startsOnFaultyMachine <= 4,
                "at most 4 replicas must start on the faulty machine, but the number of starts is "
                        + startsOnFaultyMachine);
        cluster.await(() -> cluster.runningReplicaCount(1) == 2, 40);
    }

    /** A misconfigured service ends immediately on every machine. Its restarts must not overload the leader. */
    @Test
    void serviceThatEndsImmediatelyOnEveryMachineBacksOff() {
        startService(2);
        cluster.cloud.setBehaviour(SimWorker.Behaviour.ENDS_SERVICES);
        cluster.cloud.workers().forEach(w -> w.endReplicas("done"));
        int startsBefore = cluster.taskStarts().size();
        cluster.loop.run(300);
        int starts = cluster.taskStarts().size() - startsBefore;
        assertTrue(
                starts > 2 && starts < 60,
                "replicas must start 3 to 59 times in 300 s but started " + starts + " times");
        cluster.submit(SimJobs.array(2, 2));
        cluster.await(() -> cluster.completedTasks().size() >= 2, 60);
        assertEquals("cancelled", cluster.cancel("n0", SERVICE_ID));
        cluster.verifyRecovery(120);
    }

    @Test
    void replicaOfCrashedMachineRunsOnAnotherMachine() {
        startService(2);
        SimWorker crashedWorker = workerOf(SERVICE_ID + "/0");
        cluster.cloud.crash(crashedWorker);
        cluster.await(() -> cluster.runningReplicaCount(1) == 2, 60);
        assertFalse(cluster.runningTasks().containsValue(crashedWorker.name()));
        cluster.verifyRecovery(60);
    }

    /** After an interruption notice a replica moves as soon as another machine has capacity, and not before. */
    @Test
    void replicaMovesOnInterruptionNoticeOnceCapacityExists() {
        cluster.await(() -> cluster.state.value("feature-level") != null, 20);
        cluster.submit(SimJobs.service(1, 1).put("windfall", true));
        cluster.await(() -> cluster.runningReplicaCount(1) == 1, 40);
        SimWorker interruptedWorker = workerOf(SERVICE_ID + "/0");
        interruptedWorker.announceInterruption(60);
        cluster.await(
                () -> cluster.runningReplicaCount(1) == 1
                        && !cluster.runningTasks().containsValue(interruptedWorker.name()),
                50);
        assertEquals(2, cluster.taskStarts().size());
    }

    /** The leader crashes at different times while a replica moves after an interruption notice. */
    @ParameterizedTest
    @ValueSource(doubles = {0.1, 0.6, 1.2, 1.8, 2.4, 3.0})
    void replicaMoveSurvivesLeaderCrash(double crashDelayS) {
        startService(2);
        cluster.submit(SimJobs.service(2, 2).put("windfall", true));
        cluster.await(() -> cluster.runningReplicaCount(2) == 2, 40);
        SimWorker interruptedWorker = workerOf("j-000002/0");
        interruptedWorker.announceInterruption(40);
        cluster.loop.run(crashDelayS);
        cluster.nodes.crashLeader(3);
        cluster.await(() -> !cluster.runningTasks().containsValue(interruptedWorker.name()), 60);
        cluster.verifyRecovery(90);
    }

    /** A service is cancelled at different times while a replica moves after an interruption notice. */
    @ParameterizedTest
    @ValueSource(doubles = {0.2, 0.8, 1.4, 2.0, 3.0})
    void cancellationDuringReplicaMoveStopsService(double cancelDelayS) {
        startService(2);
        workerOf(SERVICE_ID + "/0").announceInterruption(40);
        cluster.loop.run(cancelDelayS);
        assertEquals("cancelled", cluster.cancel("n2", SERVICE_ID));
        cluster.loop.run(SimulatedCluster.CANCELLATION_DEADLINE_S);
        assertEquals(0, cluster.runningReplicaCount(1));
        cluster.verifyRecovery(60);
    }

    /** All nodes are down for longer than a lease, so workers stop their tasks. The tasks must start again later. */
    @Test
    void servicesRestartAfterOutageOfAllNodes() {
        startService(3);
        for (String node : List.of("n0", "n1", "n2")) {
            cluster.nodes.crash(node);
        }
        cluster.loop.run(SimulatedCluster.LEASE_S + 6);
        assertEquals(0, cluster.runningReplicaCount(1));
        cluster.verifyRecovery(90);
        assertEquals(3, cluster.runningReplicaCount(1));
    }

    /**
     * The heartbeats of a machine are lost, but commands reach the machine. The replica on this machine must not start
     * on another machine while it still runs here.
     */
    @Test
    void replicaOnSilentMachineNeverRunsTwiceConcurrently() {
        startService(2);
        SimWorker silentWorker = workerOf(SERVICE_ID + "/0");
        cluster.net.injectFaults(
                (from, to, call) -> from.equals(silentWorker.name()) ? Delivery.LOST : Delivery.DELIVERED);
        cluster.loop.run(60);
        cluster.verifyRecovery(60);
    }

    /** If tasks of lower priority use all the capacity, a service preempts some of these tasks. */
    @Test
    void servicePreemptsLowerPriorityTasks() {
        cluster.cloud.limitCapacity(2);
        cluster.await(() -> cluster.state.value("feature-level") != null, 20);
        cluster.submit(SimJobs.array(5, 4)
                .put("expectS", 500.0)
                .put("rank", "best_effort")
                .put("windfall", false));
        cluster.await(() -> cluster.runningTasks().size() == 4, 40);
        assertEquals(
                422,
                cluster.submit(SimJobs.service(3, 9)),
                "nine replicas need 18 CPUs and must exceed the team's quota of 16 CPUs");
        cluster.cancel("n0", "j-000005");
        cluster.await(() -> cluster.runningTasks().isEmpty(), 40);
        cluster.submit(SimJobs.array(6, 3)
                .put("expectS", 500.0)
                .put("rank", "best_effort")
                .put("windfall", false));
        cluster.await(() -> cluster.runningTasks().size() == 3, 40);
        cluster.cloud.limitCapacity(1);
        cluster.submit(SimJobs.service(1, 2));
        cluster.await(() -> cluster.runningReplicaCount(1) == 2, 40);
    }

    /** Replicas are spread over zones, because the job requests this, and over machines. */
    @Test
    void replicasAreSpreadOverMachines() {
        cluster.await(() -> cluster.state.value("feature-level") != null, 20);
        cluster.submit(
                SimJobs.array(9, 8).put("cpus", 2.0).put("windfall", false).put("expectS", 20.0));
        cluster.await(() -> cluster.runningTasks().size() == 8, 40);
        cluster.await(() -> cluster.runningTasks().isEmpty(), 60);
        cluster.submit(SimJobs.service(1, 4).put("scatter", true));
        cluster.await(() -> cluster.runningReplicaCount(1) == 4, 60);
        Set<String> machines = new TreeSet<>(cluster.runningTasks().values());
        assertTrue(machines.size() >= 2, "replicas must run on at least two machines: " + machines);
    }

    /** The state service lowers its limits while services run, start and move. No write exceeds the new limits. */
    @Test
    void loweredStateServiceLimitsAreNotExceededWhileServicesRun() {
        startService(3);
        cluster.submit(SimJobs.array(2, 5).put("cpus", 1.0).put("expectS", 15.0));
        cluster.loop.run(4);
        cluster.lowerLimits();
        cluster.nodes.crashLeader(2);
        cluster.submit("n1", SimJobs.service(3, 2));
        cluster.cloud.crash(workerOf(SERVICE_ID + "/1"));
        cluster.verifyRecovery(120);
        assertEquals(0, cluster.state.rejectedTransactionCount());
        assertTrue(cluster.state.takeLargestTransactionOps() <= 4);
        assertTrue(cluster.state.takeLargestValueBytes() <= 2048);
    }

    @ParameterizedTest
    @CsvSource({
        "expectS, 5, 400", "expectS, , 400", "expectS, -1, 400", "shape, \"gang\", 400", "parts, 0, 400",
        "parts, 9, 422", "cpus, 9, 422", "crew, \"nobody\", 422", "grove, \"z9\", 422", "dueS, 30, 201",
        "dueS, -1, 400", "samePlace, true, 201", "markEveryS, 10, 201"
    })
    void serviceSubmissionFieldsAreValidated(String field, String value, int status) throws BadMessageException {
        cluster.await(() -> cluster.state.value("feature-level") != null, 20);
        JsonNode fieldValue = value == null
                ? Json.object().nullNode()
                : Json.object(("{\"v\":" + value + "}").getBytes(StandardCharsets.UTF_8))
                        .get("v");
        assertEquals(status, cluster.submit(SimJobs.service(1, 2).set(field, fieldValue)));
        assertEquals(status == 201, cluster.state.value("job/" + SERVICE_ID) != null);
    }

    /** Batch jobs complete while services run. */
    @Test
    void batchJobsAreNotStarvedByServices() {
        startService(4);
        cluster.submit(SimJobs.array(2, 6).put("rank", "best_effort"));
        cluster.await(
                () -> cluster.completedTasks().stream()
                                .filter(t -> t.startsWith("j-000002"))
                                .count()
                        == 6,
                90);
        assertEquals(4, cluster.runningReplicaCount(1));
        assertEquals(
                Set.of(SERVICE_ID),
                cluster.runningTasks().keySet().stream()
                        .map(t -> t.split("/")[0])
                        .collect(Collectors.toSet()));
    }
}
