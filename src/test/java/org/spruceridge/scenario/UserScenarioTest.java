package org.spruceridge.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.spruceridge.net.Json;
import org.spruceridge.net.Response;
import org.spruceridge.sim.SimJobs;
import org.spruceridge.sim.SimNet.Delivery;
import org.spruceridge.sim.SimStateService;
import org.spruceridge.sim.SimulatedCluster;

/** Submits, polls and cancels jobs and reads metrics through the interfaces that users and operators use. */
final class UserScenarioTest {
    private final SimulatedCluster cluster = new SimulatedCluster(3);

    @BeforeEach
    void waitForElection() {
        cluster.loop.run(5);
    }

    private void runUntilDone(String id) {
        for (int i = 0; i < 200 && !cluster.poll(id).equals("done"); i++) {
            cluster.loop.run(0.5);
        }
        assertEquals("done", cluster.poll(id));
    }

    @Test
    void jobIsDoneOnceAllTasksComplete() {
        assertEquals(201, cluster.submit(SimJobs.array(1, 6)));
        while (cluster.completedTasks().size() < 6) {
            assertTrue(List.of("pending", "running").contains(cluster.poll("j-000001")));
            cluster.loop.run(0.25);
        }
        cluster.loop.run(3);
        assertEquals("done", cluster.poll("j-000001"));
        assertEquals(6, cluster.taskStarts().size());
    }

    @Test
    void idleMachineIsScaledIn() {
        cluster.submit(SimJobs.array(1, 1));
        runUntilDone("j-000001");
        cluster.loop.run(90);
        assertEquals(0, cluster.cloud.machineCount());
    }

    @Test
    void jobOfManyTasksIsRecordedInChunksAndPages() {
        SimulatedCluster smallPageCluster = new SimulatedCluster(2, 6, 2);
        smallPageCluster.loop.run(5);
        smallPageCluster.submit(SimJobs.array(7, 40).put("expectS", 1.0));
        smallPageCluster.loop.run(20);
        smallPageCluster.nodes.crash(smallPageCluster.leader());
        smallPageCluster.loop.run(200);
        assertEquals(40, smallPageCluster.completedTasks().size());
        assertEquals("done", smallPageCluster.poll("j-000007"));
        assertTrue(smallPageCluster.recordedBindings().isEmpty());
        assertTrue(smallPageCluster.state.keys("open/").isEmpty());
    }

    @Test
    void repeatedSubmissionReturnsStageOfJob() {
        ObjectNode job = SimJobs.array(1, 1);
        assertEquals(201, cluster.submit(job));
        assertEquals(200, cluster.submit(job));
        runUntilDone("j-000001");
        for (String node : List.of("n0", "n1", "n2")) {
            Response response = cluster.request(node, "POST", "/api/jobs", job);
            assertEquals(200, response.status());
            assertEquals("done", SimulatedCluster.stage(response));
        }
        assertEquals(1, cluster.taskStarts().size());
    }

    @Test
    void repeatedSubmissionWithInvalidFieldsIsNotRejected() {
        cluster.submit(SimJobs.array(1, 1));
        assertEquals(
                200,
                cluster.request("n1", "POST", "/api/jobs", SimJobs.array(1, 1).put("cpus", -1))
                        .status());
        assertEquals(
                200,
                cluster.request("n2", "POST", "/api/jobs", SimJobs.array(1, 1).put("crew", "nobody"))
                        .status());
    }

    @Test
    void lostStateServiceResponseIsResolvedBeforeUserResponse() {
        AtomicInteger transactionCalls = new AtomicInteger();
        cluster.net.injectFaults((from, to, call) ->
                SimStateService.isTransactionOn(call, "job/j-000001") && transactionCalls.getAndIncrement() == 0
                        ? Delivery.RESPONSE_LOST
                        : Delivery.DELIVERED);
        assertEquals(200, cluster.submit(SimJobs.array(1, 1)));
        runUntilDone("j-000001");
    }

    @Test
    void acceptedJobsAreKnownOnEveryNodeImmediately() {
        cluster.submit(SimJobs.array(1, 1));
        for (String node : List.of("n0", "n1", "n2")) {
            assertEquals(200, cluster.request(node, "GET", "/api/jobs/j-000001").status());
        }
    }

    @Test
    void unknownJobsAreReportedAsNotFound() {
        assertEquals("404", cluster.poll("j-999999"));
        assertEquals("404", cluster.poll("job-1"));
        Response response = cluster.request("n0", "POST", "/api/jobs/j-999999/abort");
        assertEquals(404, response.status());
    }

    @Test
    void terminalStagesOfJobsNeverChange() {
        cluster.submit(SimJobs.array(1, 1));
        runUntilDone("j-000001");
        assertEquals("done", SimulatedCluster.stage(cluster.request("n1", "POST", "/api/jobs/j-000001/abort")));
        cluster.submit(SimJobs.array(2, 1));
        assertEquals("cancelled", SimulatedCluster.stage(cluster.request("n1", "POST", "/api/jobs/j-000002/abort")));
        assertEquals("cancelled", SimulatedCluster.stage(cluster.request("n2", "POST", "/api/jobs/j-000002/abort")));
        assertEquals(200, cluster.submit(SimJobs.array(2, 1)));
        cluster.loop.run(60);
        assertEquals("cancelled", cluster.poll("j-000002"));
        assertEquals(1, cluster.taskStarts().size());
    }

    @ParameterizedTest
    @CsvSource({
        "nameId, \"job-1\"",
        "nameId, 7",
        "parts, 0",
        "parts, 100001",
        "parts, 1.5",
        "parts, \"3\"",
        "cpus, 0",
        "cpus, -4",
        "cpus, 1e999",
        "memGb, 0",
        "memGb, null",
        "accelerators, -1",
        "shape, \"cube\"",
        "shape, null",
        "rank, \"urgent\"",
        "builds, \"t8\"",
        "builds, [8]",
        "grove, 4",
        "samePlace, \"yes\"",
        "scatter, null",
        "windfall, 1",
        "expectS, 0",
        "markEveryS, -1",
        "markS, -1",
        "dueS, 0",
        "bundle, null",
        "crew, \"\"",
    })
    void malformedJobIsRejectedWithBadRequest(String field, String value) {
        String body = new String(Json.bytes(SimJobs.array(5, 1)), StandardCharsets.UTF_8);
        String malformedBody = body.replaceFirst("\"" + field + "\":(\"[^\"]*\"|[^,}]*)", "\"" + field + "\":" + value);
        Response response = cluster.request("n1", "POST", "/api/jobs", malformedBody.getBytes(StandardCharsets.UTF_8));
        assertEquals(400, response.status(), "a malformed job must be rejected: " + malformedBody);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{", "[]", "7", "null", "{} {}", "{\"nameId\":\"j-1\",\"nameId\":\"j-1\"}"})
    void bodyOtherThanOneValidObjectIsRejected(String body) {
        Response response = cluster.request("n1", "POST", "/api/jobs", body.getBytes(StandardCharsets.UTF_8));
        assertEquals(400, response.status());
    }

    @Test
    void jobThatCanNeverRunIsRejected() {
        assertEquals(422, cluster.submit(SimJobs.array(1, 1).put("crew", "nobody")));
        assertEquals(422, cluster.submit(SimJobs.array(2, 1).put("cpus", 9.0)));
        assertEquals(422, cluster.submit(SimJobs.array(3, 1).put("cpus", 20.0)));
        assertEquals(422, cluster.submit(SimJobs.array(4, 1).put("grove", "z9")));
        ObjectNode jobForUnknownMachineType = SimJobs.array(5, 1);
        jobForUnknownMachineType.putArray("builds").add("t9");
        assertEquals(422, cluster.submit(jobForUnknownMachineType));
        ObjectNode arrayLargerThanTeamQuota = SimJobs.array(6, 100);
        assertEquals(
                201,
                cluster.submit(arrayLargerThanTeamQuota),
                "an array must be accepted even if all its tasks together exceed the team's quota");
    }

    @Test
    void invalidPathsAndMethodsReceiveDistinctStatuses() {
        assertEquals(404, cluster.request("n0", "GET", "/nothing").status());
        assertEquals(405, cluster.request("n0", "DELETE", "/api/jobs").status());
        assertEquals(405, cluster.request("n0", "GET", "/hello").status());
        assertEquals(400, cluster.request("n0", "POST", "/hello").status());
        assertEquals(200, cluster.request("n0", "GET", "/healthz").status());
    }

    @Test
    void metricsReportUserRequestLatencies() {
        cluster.submit(SimJobs.array(1, 1));
        runUntilDone("j-000001");
        JsonNode userLatencies = cluster.metrics("n0").path("users");
        assertTrue(userLatencies.path("count").asLong() > 0);
        assertTrue(userLatencies.path("maxMs").asDouble()
                >= userLatencies.path("p50Ms").asDouble());
    }

    /**
     * Metrics report the outcomes of heartbeats, the duration of the failover and the age of the leader's view of
     * cancelled jobs.
     */
    @Test
    void metricsReportHeartbeatOutcomesAndFailover() {
        cluster.submit(SimJobs.array(1, 1));
        runUntilDone("j-000001");
        JsonNode metrics = cluster.metrics(cluster.leader());
        JsonNode outcomes = metrics.path("heartbeatOutcomes");
        assertTrue(outcomes.path("answered").asLong() > 0, "heartbeats must have been answered: " + outcomes);
        assertEquals(0, outcomes.path("staleView").asLong());
        assertEquals(1, metrics.path("failovers").path("count").asLong());
        assertTrue(metrics.path("failovers").path("lastS").asDouble() > 0);
        assertTrue(metrics.path("leader").path("viewAgeS").asDouble() < SimulatedCluster.LEASE_S);
        assertEquals(0, metrics.path("leader").path("oldestUnprovenStopS").asDouble());
        assertTrue(cluster.metrics(cluster.follower()).path("leader").isMissingNode());
    }

    @Test
    void nodeThatAloneLosesStateServiceIsUnhealthy() {
        cluster.net.injectFaults((from, to, call) ->
                from.equals("n1") && SimulatedCluster.isStateService(to) ? Delivery.LOST : Delivery.DELIVERED);
        cluster.loop.run(8);
        assertEquals(503, cluster.request("n1", "GET", "/healthz").status());
        assertEquals(200, cluster.request("n2", "GET", "/healthz").status());
        cluster.net.clearFaults();
        cluster.state.startOutage(10);
        cluster.loop.run(6);
        assertEquals(
                200,
                cluster.request("n2", "GET", "/healthz").status(),
                "an outage that affects all nodes must not make a node unhealthy");
    }
}
