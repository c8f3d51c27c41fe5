package org.spruceridge.wire;

import static org.junit.jupiter.api.Assertions.assertEquals;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.spruceridge.net.Response;
import org.spruceridge.sim.SimJobs;
import org.spruceridge.sim.SimulatedCluster;

/** The complete responses to requests of users, workers and the platform, for each path and method. */
final class UserMessagesTest {
    private final SimulatedCluster cluster = new SimulatedCluster(3);

    @BeforeEach
    void waitForElection() {
        cluster.loop.run(5);
    }

    private static String text(Response response) {
        return response.status() + " " + new String(response.body(), StandardCharsets.UTF_8);
    }

    private String get(String path) {
        return text(cluster.request(cluster.leader(), "GET", path));
    }

    private String post(String path, ObjectNode body) {
        return text(cluster.request(cluster.leader(), "POST", path, body));
    }

    @Test
    void completedJobIsDescribedInEachStage() {
        ObjectNode job = SimJobs.array(1, 1);
        assertEquals("201 {\"nameId\":\"j-000001\",\"stage\":\"pending\"}", post("/api/jobs", job));
        // Submits the job again through the simulated cluster, whose invariant checker must know the job.
        cluster.submit(job);
        assertEquals(
                "200 {\"nameId\":\"j-000001\",\"stage\":\"pending\",\"done\":0,\"running\":0}",
                get("/api/jobs/j-000001"));
        assertEquals(
                "200 {\"nameId\":\"j-000001\",\"stage\":\"pending\",\"done\":0,\"running\":0}", post("/api/jobs", job));
        cluster.await(() -> !cluster.poll("j-000001").equals("pending"), 100);
        assertEquals(
                "200 {\"nameId\":\"j-000001\",\"stage\":\"running\",\"done\":0,\"running\":1}",
                get("/api/jobs/j-000001"));
        cluster.await(() -> !cluster.poll("j-000001").equals("running"), 100);
        assertEquals(
                "200 {\"nameId\":\"j-000001\",\"stage\":\"done\",\"done\":1,\"running\":0}", get("/api/jobs/j-000001"));
        assertEquals(
                "200 {\"nameId\":\"j-000001\",\"stage\":\"done\"}",
                text(cluster.request("n1", "POST", "/api/jobs/j-000001/abort")));
    }

    @Test
    void abortedJobIsDescribedAsCancelled() {
        cluster.submit(SimJobs.array(2, 3));
        assertEquals(
                "200 {\"nameId\":\"j-000002\",\"stage\":\"cancelled\"}",
                text(cluster.request("n1", "POST", "/api/jobs/j-000002/abort")));
        assertEquals(
                "200 {\"nameId\":\"j-000002\",\"stage\":\"cancelled\",\"done\":0,\"running\":0}",
                get("/api/jobs/j-000002"));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = ';',
            value = {
                "GET; /; 404 {\"error\":\"no such path\"}",
                "GET; /api/jobs/j-000001/pause; 404 {\"error\":\"no such path\"}",
                "GET; /api/jobs/j-999999; 404 {\"error\":\"no such job\"}",
                "POST; /api/jobs/j-999999/abort; 404 {\"error\":\"no such job\"}",
                "GET; /api/jobs; 405 {\"error\":\"only POST\"}",
                "POST; /api/jobs/j-999999; 405 {\"error\":\"only GET\"}",
                "GET; /api/jobs/j-999999/abort; 405 {\"error\":\"only POST\"}",
                "GET; /hello; 405 {\"error\":\"only POST\"}",
                "POST; /healthz; 405 {\"error\":\"only GET\"}",
                "POST; /metrics; 405 {\"error\":\"only GET\"}",
                "GET; /healthz; 200 {\"status\":\"ok\"}",
                "POST; /hello; 400 {\"error\":\"not a JSON object\"}",
            })
    void requestWithoutBodyGetsExpectedResponse(String method, String path, String expected) {
        assertEquals(expected, text(cluster.request(cluster.leader(), method, path)));
    }

    @Test
    void rejectedJobGetsReasonInResponse() {
        assertEquals(
                "400 {\"error\":\"nameId must be j- followed by 1 to 18 digits, but is j-x\"}",
                post("/api/jobs", SimJobs.array(1, 1).put("nameId", "j-x")));
        assertEquals(
                "400 {\"error\":\"rank must be production, high, normal or best_effort, but is low\"}",
                post("/api/jobs", SimJobs.array(1, 1).put("rank", "low")));
        assertEquals(
                "400 {\"error\":\"shape must be sweep or standing, but is array\"}",
                post("/api/jobs", SimJobs.array(1, 1).put("shape", "array")));
        assertEquals(
                "422 {\"error\":\"unknown team\"}",
                post("/api/jobs", SimJobs.array(1, 1).put("crew", "nobody")));
    }

    @Test
    void rejectedHeartbeatGetsReasonInResponse() {
        assertEquals(
                "400 {\"error\":\"host is not a string\"}",
                post("/hello", SimJobs.heartbeat("i-000099", 1).put("host", 1)));
        assertEquals(
                "400 {\"error\":\"watch is not a non-negative integer\"}",
                post("/hello", SimJobs.heartbeat("i-000099", 1).put("watch", -1)));
    }

    @Test
    void workerIsAnsweredByLeaderAndRedirectedByFollower() {
        ObjectNode heartbeat = SimJobs.heartbeat("i-000099", 1);
        assertEquals("200 {\"warrant\":1,\"orders\":[]}", post("/hello", heartbeat));
        assertEquals(
                "421 {\"steward\":\"" + cluster.leader() + "\"}",
                text(cluster.request(cluster.follower(), "POST", "/hello", heartbeat)));
    }
}
