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

/** Services: their replicas run until the job is cancelled, wherever there is capacity, and never twice at a time. */
final class ServiceScenarioTest {
    private static final String ID = "j-000001";
    private final SimulatedCluster cluster = SimulatedCluster.withFallingLimits(3);

    private void startService(int replicas) {
        cluster.awaitLeader(10);
        cluster.await(() -> cluster.state.value("feature-level") != null, 10);
        assertEquals(201, cluster.submit(SimJobs.service(1, replicas)));
        cluster.await(() -> cluster.replicas(1) == replicas, 40);
    }

    private SimWorker workerOf(String replica) {
        String machine = cluster.running().get(replica);
        return cluster.cloud.workers().stream()
                .filter(w -> w.name().equals(machine))
                .findFirst()
                .orElseThrow();
    }

    @Test
    void serviceRunsUntilCancelledAndIsNeverDone() throws BadMessageException {
        startService(3);
        cluster.loop.run(120);
        Response poll = cluster.request("n0", "GET", "/api/jobs/" + ID);
        JsonNode body = Json.object(poll.body());
        assertEquals("running", body.path("stage").asText());
        assertEquals(3, body.path("running").asInt());
        assertEquals(0, body.path("done").asInt());
        assertEquals(3, cluster.starts().size(), "no replica was stopped");
        assertEquals(200, cluster.submit(SimJobs.service(1, 3)), "a repeated submission is idempotent");
        assertEquals("cancelled", cluster.cancel("n1", ID));
        cluster.await(() -> cluster.replicas(1) == 0, SimulatedCluster.CANCELLATION_DEADLINE_S);
        cluster.verifyRecovery(60);
    }

    /** A replica that a worker reports as done restarts, under the leader that started it and under a later one. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void replicaThatEndsRunsAgain(boolean underTheNextLeader) {
        startService(2);
        SimWorker worker = workerOf(ID + "/0");
        worker.endReplicas("done");
        if (underTheNextLeader) {
            cluster.nodes.crashLeader(3);
        }
        cluster.await(() -> cluster.replicas(1) < 2, 10);
        cluster.await(() -> cluster.replicas(1) == 2, 60);
        cluster.loop.run(10);
        assertEquals("running", cluster.poll(ID));
        cluster.verifyRecovery(60);
    }

    /** One machine fails all its tasks: replicas run elsewhere, and few of them are placed on it. */
    @Test
    void machineThatFailsReplicasGetsFewOfThem() {
        startService(2);
        SimWorker faulty = workerOf(ID + "/0");
        faulty.setBehaviour(SimWorker.Behaviour.FAILS);
        faulty.endReplicas("error");
        cluster.loop.run(30);
        long there = cluster.starts().stream()
                .filter(s -> s.endsWith("@" + faulty.name()))
                .count();
        assertTrue(there <= 4, "starts on the faulty machine: " + there);
        cluster.await(() -> cluster.replicas(1) == 2, 40);
    }

    /** A misconfigured service ends immediately wherever it starts: its restarts must not overload the leader. */
    @Test
    void serviceThatEndsImmediatelyEverywhereBacksOff() {
        startService(2);
        cluster.cloud.setBehaviour(SimWorker.Behaviour.ENDS_SERVICES);
        cluster.cloud.workers().forEach(w -> w.endReplicas("done"));
        int before = cluster.starts().size();
        cluster.loop.run(300);
        int starts = cluster.starts().size() - before;
        assertTrue(starts > 2 && starts < 60, starts + " starts in 300 s");
        cluster.submit(SimJobs.array(2, 2));
        cluster.await(() -> cluster.completed().size() >= 2, 60);
        assertEquals("cancelled", cluster.cancel("n0", ID));
        cluster.verifyRecovery(120);
    }

    @Test
    void replicaOfCrashedMachineRunsOnAnotherMachine() {
        startService(2);
        SimWorker lost = workerOf(ID + "/0");
        cluster.cloud.crash(lost);
        cluster.await(() -> cluster.replicas(1) == 2, 60);
        assertFalse(cluster.running().containsValue(lost.name()));
        cluster.verifyRecovery(60);
    }

    /** On an interruption notice a replica moves as soon as there is capacity elsewhere, and not before. */
    @Test
    void replicaMovesOnInterruptionNoticeOnceCapacityExists() {
        cluster.await(() -> cluster.state.value("feature-level") != null, 20);
        cluster.submit(SimJobs.service(1, 1).put("windfall", true));
        cluster.await(() -> cluster.replicas(1) == 1, 40);
        SimWorker leaving = workerOf(ID + "/0");
        leaving.announceInterruption(60);
        cluster.await(() -> cluster.replicas(1) == 1 && !cluster.running().containsValue(leaving.name()), 50);
        assertEquals(2, cluster.starts().size());
    }

    /** The leader crashes during such a move, at any step of it. */
    @ParameterizedTest
    @ValueSource(doubles = {0.1, 0.6, 1.2, 1.8, 2.4, 3.0})
    void replicaMoveSurvivesLeaderCrash(double afterS) {
        startService(2);
        cluster.submit(SimJobs.service(2, 2).put("windfall", true));
        cluster.await(() -> cluster.replicas(2) == 2, 40);
        SimWorker leaving = workerOf("j-000002/0");
        leaving.announceInterruption(40);
        cluster.loop.run(afterS);
        cluster.nodes.crashLeader(3);
        cluster.await(() -> !cluster.running().containsValue(leaving.name()), 60);
        cluster.verifyRecovery(90);
    }

    /** A service is cancelled while a replica moves. */
    @ParameterizedTest
    @ValueSource(doubles = {0.2, 0.8, 1.4, 2.0, 3.0})
    void cancellationDuringReplicaMoveStopsService(double afterS) {
        startService(2);
        workerOf(ID + "/0").announceInterruption(40);
        cluster.loop.run(afterS);
        assertEquals("cancelled", cluster.cancel("n2", ID));
        cluster.loop.run(SimulatedCluster.CANCELLATION_DEADLINE_S);
        assertEquals(0, cluster.replicas(1));
        cluster.verifyRecovery(60);
    }

    /** All nodes are down for longer than a lease: the workers stop their tasks, which then run again. */
    @Test
    void servicesRestartAfterAbsenceOfAllNodes() {
        startService(3);
        for (String node : List.of("n0", "n1", "n2")) {
            cluster.nodes.crash(node);
        }
        cluster.loop.run(SimulatedCluster.LEASE_S + 6);
        assertEquals(0, cluster.replicas(1));
        cluster.verifyRecovery(90);
        assertEquals(3, cluster.replicas(1));
    }

    /** Its machine sends no heartbeats but receives commands: the replica must not start elsewhere too soon. */
    @Test
    void replicaOnSilentMachineRunsOnceAtATime() {
        startService(2);
        SimWorker silent = workerOf(ID + "/0");
        cluster.net.injectFaults((from, to, call) -> from.equals(silent.name()) ? Delivery.LOST : Delivery.DELIVERED);
        cluster.loop.run(60);
        cluster.verifyRecovery(60);
    }

    /** If tasks of lower priority take all the capacity, a service preempts some of them. */
    @Test
    void servicePreemptsLowerPriorityTasks() {
        cluster.cloud.limitCapacity(2);
        cluster.await(() -> cluster.state.value("feature-level") != null, 20);
        cluster.submit(SimJobs.array(5, 4)
                .put("expectS", 500.0)
                .put("rank", "best_effort")
                .put("windfall", false));
        cluster.await(() -> cluster.running().size() == 4, 40);
        assertEquals(422, cluster.submit(SimJobs.service(3, 9)), "18 CPUs of 16");
        cluster.cancel("n0", "j-000005");
        cluster.await(() -> cluster.running().isEmpty(), 40);
        cluster.submit(SimJobs.array(6, 3)
                .put("expectS", 500.0)
                .put("rank", "best_effort")
                .put("windfall", false));
        cluster.await(() -> cluster.running().size() == 3, 40);
        cluster.cloud.limitCapacity(1);
        cluster.submit(SimJobs.service(1, 2));
        cluster.await(() -> cluster.replicas(1) == 2, 40);
    }

    /** Replicas are spread over zones as the job asks, and over machines. */
    @Test
    void replicasAreSpreadOverMachines() {
        cluster.await(() -> cluster.state.value("feature-level") != null, 20);
        cluster.submit(
                SimJobs.array(9, 8).put("cpus", 2.0).put("windfall", false).put("expectS", 20.0));
        cluster.await(() -> cluster.running().size() == 8, 40);
        cluster.await(() -> cluster.running().isEmpty(), 60);
        cluster.submit(SimJobs.service(1, 4).put("scatter", true));
        cluster.await(() -> cluster.replicas(1) == 4, 60);
        Set<String> machines = new TreeSet<>(cluster.running().values());
        assertTrue(machines.size() >= 2, machines.toString());
    }

    /** The state service lowers its limits while services run, start and move; no write ever exceeds them. */
    @Test
    void loweredStateLimitsAreKeptWhileServicesRun() {
        startService(3);
        cluster.submit(SimJobs.array(2, 5).put("cpus", 1.0).put("expectS", 15.0));
        cluster.loop.run(4);
        cluster.lowerLimits();
        cluster.nodes.crashLeader(2);
        cluster.submit("n1", SimJobs.service(3, 2));
        cluster.cloud.crash(workerOf(ID + "/1"));
        cluster.verifyRecovery(120);
        assertEquals(0, cluster.state.rejectedTransactions());
        assertTrue(cluster.state.largestTransactionOps() <= 4);
        assertTrue(cluster.state.largestValueBytes() <= 2048);
    }

    @ParameterizedTest
    @CsvSource({
        "expectS, 5, 400", "expectS, , 400", "expectS, -1, 400", "shape, \"gang\", 400", "parts, 0, 400",
        "parts, 9, 422", "cpus, 9, 422", "crew, \"nobody\", 422", "grove, \"z9\", 422", "dueS, 30, 201",
        "dueS, -1, 400", "samePlace, true, 201", "markEveryS, 10, 201"
    })
    void submissionsOfServicesAreValidated(String field, String value, int status) throws BadMessageException {
        cluster.await(() -> cluster.state.value("feature-level") != null, 20);
        JsonNode given = value == null
                ? Json.object().nullNode()
                : Json.object(("{\"v\":" + value + "}").getBytes(StandardCharsets.UTF_8))
                        .get("v");
        assertEquals(status, cluster.submit(SimJobs.service(1, 2).set(field, given)));
        assertEquals(status == 201, cluster.state.value("job/" + ID) != null);
    }

    /** Batch jobs and services run side by side. */
    @Test
    void batchJobsAreNotStarvedByServices() {
        startService(4);
        cluster.submit(SimJobs.array(2, 6).put("rank", "best_effort"));
        cluster.await(
                () -> cluster.completed().stream()
                                .filter(t -> t.startsWith("j-000002"))
                                .count()
                        == 6,
                90);
        assertEquals(4, cluster.replicas(1));
        assertEquals(
                Set.of(ID),
                cluster.running().keySet().stream().map(t -> t.split("/")[0]).collect(Collectors.toSet()));
    }
}
