package org.spruceridge.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import java.util.Map;
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
import org.spruceridge.sim.SimNet.Fate;
import org.spruceridge.sim.SimWorker;
import org.spruceridge.sim.SimulatedCluster;

/** Services: their replicas run until the job is cancelled, wherever there is room, and never twice at a time. */
final class ServiceScenarioTest {
    private static final String ID = "j-000001";
    private final SimulatedCluster cluster = SimulatedCluster.withFallingLimits(3);

    private void up(int replicas) {
        cluster.until(() -> cluster.leader() != null, 10);
        cluster.until(() -> cluster.state.value("feature-level") != null, 10);
        assertEquals(201, cluster.submit(SimulatedCluster.service(1, replicas)));
        cluster.until(() -> cluster.replicas(1) == replicas, 40);
    }

    private SimWorker workerOf(String replica) {
        String machine = cluster.running().get(replica);
        return cluster.cloud.workers().stream()
                .filter(w -> w.name().equals(machine))
                .findFirst()
                .orElseThrow();
    }

    private Map<String, String> replicasByMachine() {
        return cluster.running();
    }

    @Test
    void serviceRunsUntilCancelledAndIsNeverDone() throws BadMessageException {
        up(3);
        cluster.loop.run(120);
        Response poll = cluster.ask("n0", "GET", "/api/jobs/" + ID, (JsonNode) null);
        JsonNode body = Json.object(poll.body());
        assertEquals("running", body.path("stage").asText());
        assertEquals(3, body.path("running").asInt());
        assertEquals(0, body.path("done").asInt());
        assertEquals(3, cluster.starts().size(), "nothing stopped them");
        assertEquals(200, cluster.submit(SimulatedCluster.service(1, 3)), "a repeat is answered as ever");
        assertEquals("cancelled", cluster.cancel("n1", ID));
        cluster.until(() -> cluster.replicas(1) == 0, SimulatedCluster.CANCEL_S);
        cluster.settle(60);
    }

    /** What a worker reports as done of a replica, under a leader that saw it start or a later one, is no end. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void replicaThatEndsRunsAgain(boolean underTheNextLeader) {
        up(2);
        SimWorker worker = workerOf(ID + "/0");
        worker.endReplicas("done");
        if (underTheNextLeader) {
            cluster.crashLeader(3);
        }
        cluster.until(() -> cluster.replicas(1) < 2, 10);
        cluster.until(() -> cluster.replicas(1) == 2, 60);
        cluster.loop.run(10);
        assertEquals("running", cluster.poll(ID));
        cluster.settle(60);
    }

    /** One machine fails all that it is given: replicas run elsewhere, and the machine is given few of them. */
    @Test
    void machineThatFailsReplicasGetsFewOfThem() {
        up(2);
        SimWorker faulty = workerOf(ID + "/0");
        faulty.behaviour(SimWorker.Behaviour.FAILS);
        faulty.endReplicas("error");
        cluster.loop.run(30);
        long there = cluster.starts().stream()
                .filter(s -> s.endsWith("@" + faulty.name()))
                .count();
        assertTrue(there <= 4, "starts on the faulty machine: " + there);
        cluster.until(() -> cluster.replicas(1) == 2, 40);
    }

    /** A service submitted with a mistake ends at once wherever it starts: it must not keep the leader busy. */
    @Test
    void serviceThatEndsImmediatelyEverywhereBacksOff() {
        up(2);
        cluster.cloud.behaviour(SimWorker.Behaviour.ENDS_SERVICES);
        cluster.cloud.workers().forEach(w -> w.endReplicas("done"));
        int before = cluster.starts().size();
        cluster.loop.run(300);
        int starts = cluster.starts().size() - before;
        assertTrue(starts > 2 && starts < 60, starts + " starts in 300 s");
        cluster.submit(SimulatedCluster.job(2, 2));
        cluster.until(() -> cluster.completed().size() >= 2, 60);
        assertEquals("cancelled", cluster.cancel("n0", ID));
        cluster.settle(120);
    }

    @Test
    void replicaOfCrashedMachineRunsElsewhere() {
        up(2);
        SimWorker lost = workerOf(ID + "/0");
        cluster.cloud.die(lost);
        cluster.until(() -> cluster.replicas(1) == 2, 60);
        assertFalse(cluster.running().containsValue(lost.name()));
        cluster.settle(60);
    }

    /** On a notice a replica moves as soon as there is room for it elsewhere, and not before. */
    @Test
    void replicaMovesOnInterruptionNoticeOnceCapacityExists() {
        cluster.until(() -> cluster.state.value("feature-level") != null, 20);
        cluster.submit(SimulatedCluster.service(1, 1).put("windfall", true));
        cluster.until(() -> cluster.replicas(1) == 1, 40);
        SimWorker leaving = workerOf(ID + "/0");
        leaving.notice(60);
        cluster.until(() -> cluster.replicas(1) == 1 && !cluster.running().containsValue(leaving.name()), 50);
        assertEquals(2, cluster.starts().size());
    }

    /** The leader ends in the middle of such a move, at any step of it. */
    @ParameterizedTest
    @ValueSource(doubles = {0.1, 0.6, 1.2, 1.8, 2.4, 3.0})
    void replicaMoveSurvivesLeaderCrash(double afterS) {
        up(2);
        cluster.submit(SimulatedCluster.service(2, 2).put("windfall", true));
        cluster.until(() -> cluster.replicas(2) == 2, 40);
        SimWorker leaving = workerOf("j-000002/0");
        leaving.notice(40);
        cluster.loop.run(afterS);
        cluster.crashLeader(3);
        cluster.until(() -> !cluster.running().containsValue(leaving.name()), 60);
        cluster.settle(90);
    }

    /** A service is cancelled while a replica moves. */
    @ParameterizedTest
    @ValueSource(doubles = {0.2, 0.8, 1.4, 2.0, 3.0})
    void cancellationDuringReplicaMoveStopsService(double afterS) {
        up(2);
        workerOf(ID + "/0").notice(40);
        cluster.loop.run(afterS);
        assertEquals("cancelled", cluster.cancel("n2", ID));
        cluster.loop.run(SimulatedCluster.CANCEL_S);
        assertEquals(0, cluster.replicas(1));
        cluster.settle(60);
    }

    /** All nodes are away for longer than a lease: the workers end what they have, and it runs again. */
    @Test
    void servicesRestartAfterAbsenceOfAllNodes() {
        up(3);
        for (String node : List.of("n0", "n1", "n2")) {
            cluster.crash(node);
        }
        cluster.loop.run(SimulatedCluster.LEASE_S + 6);
        assertEquals(0, cluster.replicas(1));
        cluster.settle(90);
        assertEquals(3, cluster.replicas(1));
    }

    /** Its machine is heard no more, while direct commands reach it: the replica must not start elsewhere too soon. */
    @Test
    void replicaOnSilentMachineRunsOnceAtATime() {
        up(2);
        SimWorker muted = workerOf(ID + "/0");
        cluster.net.weather((from, to, call) -> from.equals(muted.name()) ? Fate.LOST : Fate.DELIVERED);
        cluster.loop.run(60);
        cluster.settle(60);
    }

    /** With all its capacity taken by lower work, a service gets room by stopping some of it. */
    @Test
    void servicePreemptsLowerPriorityTasks() {
        cluster.cloud.capacity(2);
        cluster.until(() -> cluster.state.value("feature-level") != null, 20);
        cluster.submit(SimulatedCluster.job(5, 4)
                .put("expectS", 500.0)
                .put("rank", "best_effort")
                .put("windfall", false));
        cluster.until(() -> cluster.running().size() == 4, 40);
        assertEquals(422, cluster.submit(SimulatedCluster.service(3, 9)), "18 CPUs of 16");
        cluster.cancel("n0", "j-000005");
        cluster.until(() -> cluster.running().isEmpty(), 40);
        cluster.submit(SimulatedCluster.job(6, 3)
                .put("expectS", 500.0)
                .put("rank", "best_effort")
                .put("windfall", false));
        cluster.until(() -> cluster.running().size() == 3, 40);
        cluster.cloud.capacity(1);
        cluster.submit(SimulatedCluster.service(1, 2));
        cluster.until(() -> cluster.replicas(1) == 2, 40);
    }

    /** Replicas are spread over zones as the job asks, and over machines. */
    @Test
    void replicasAreSpreadOverMachines() {
        cluster.until(() -> cluster.state.value("feature-level") != null, 20);
        cluster.submit(SimulatedCluster.job(9, 8)
                .put("cpus", 2.0)
                .put("windfall", false)
                .put("expectS", 20.0));
        cluster.until(() -> cluster.running().size() == 8, 40);
        cluster.until(() -> cluster.running().isEmpty(), 60);
        cluster.submit(SimulatedCluster.service(1, 4).put("scatter", true));
        cluster.until(() -> cluster.replicas(1) == 4, 60);
        Set<String> machines = new TreeSet<>(replicasByMachine().values());
        assertTrue(machines.size() >= 2, machines.toString());
    }

    /** The state service lowers its limits while services run, start and move; nothing is ever too large for it. */
    @Test
    void loweredStateLimitsAreKeptWhileServicesRun() {
        up(3);
        cluster.submit(SimulatedCluster.job(2, 5).put("cpus", 1.0).put("expectS", 15.0));
        cluster.loop.run(4);
        cluster.lowerLimits();
        cluster.crashLeader(2);
        cluster.submit("n1", SimulatedCluster.service(3, 2));
        cluster.cloud.die(workerOf(ID + "/1"));
        cluster.settle(120);
        assertEquals(0, cluster.state.rejected());
        assertTrue(cluster.state.mostChanges() <= 4);
        assertTrue(cluster.state.largestValue() <= 2048);
    }

    @ParameterizedTest
    @CsvSource({
        "expectS, 5, 400", "expectS, , 400", "expectS, -1, 400", "shape, \"gang\", 400", "parts, 0, 400",
        "parts, 9, 422", "cpus, 9, 422", "crew, \"nobody\", 422", "grove, \"z9\", 422", "dueS, 30, 201",
        "dueS, -1, 400", "samePlace, true, 201", "markEveryS, 10, 201"
    })
    void submissionsOfServicesAreValidated(String field, String value, int status) throws BadMessageException {
        cluster.until(() -> cluster.state.value("feature-level") != null, 20);
        JsonNode given = value == null
                ? Json.object().nullNode()
                : Json.object(("{\"v\":" + value + "}").getBytes()).get("v");
        assertEquals(status, cluster.submit(SimulatedCluster.service(1, 2).set(field, given)));
        assertEquals(status == 201, cluster.state.value("job/" + ID) != null);
    }

    /** Batch work goes on beside services, and services beside batch work. */
    @Test
    void batchJobsAreNotStarvedByServices() {
        up(4);
        cluster.submit(SimulatedCluster.job(2, 6).put("rank", "best_effort"));
        cluster.until(
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
