package org.spruceridge.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.spruceridge.net.Response;
import org.spruceridge.sim.SimNet.Fate;
import org.spruceridge.sim.World;

/** What users see. */
final class UserStoriesTest {
    private final World world = new World(3);

    @BeforeEach
    void electALeader() {
        world.loop.run(5);
    }

    private void runUntilDone(String id) {
        for (int i = 0; i < 200 && !world.poll(id).equals("done"); i++) {
            world.loop.run(0.5);
        }
        assertEquals("done", world.poll(id));
    }

    @Test
    void aJobRunsAndIsDoneOnceAllItsTasksAre() {
        assertEquals(201, world.submit(World.job(1, 6)));
        while (world.completed().size() < 6) {
            assertTrue(List.of("pending", "running").contains(world.poll("j-000001")));
            world.loop.run(0.25);
        }
        world.loop.run(3);
        assertEquals("done", world.poll("j-000001"));
        assertEquals(6, world.starts().size());
    }

    @Test
    void anIdleMachineIsReturned() {
        world.submit(World.job(1, 1));
        runUntilDone("j-000001");
        world.loop.run(90);
        assertEquals(0, world.cloud.rented());
    }

    @Test
    void aJobOfManyTasksKeepsItsBooksInChunksAndPages() {
        World small = new World(2, 6, 2);
        small.loop.run(5);
        small.submit(World.job(7, 40).put("expectS", 1.0));
        small.loop.run(20);
        small.crash(small.leader());
        small.loop.run(200);
        assertEquals(40, small.completed().size());
        assertEquals("done", small.poll("j-000007"));
        assertTrue(small.recorded().isEmpty());
        assertTrue(small.state.keys("open/").isEmpty());
    }

    @Test
    void aRepeatGetsTheJobsStateAtAnyTime() {
        ObjectNode job = World.job(1, 1);
        assertEquals(201, world.submit(job));
        assertEquals(200, world.submit(job));
        runUntilDone("j-000001");
        for (String node : List.of("n0", "n1", "n2")) {
            Response again = world.ask(node, "POST", "/api/jobs", job);
            assertEquals(200, again.status());
            assertEquals("done", World.stage(again));
        }
        assertEquals(1, world.starts().size());
    }

    @Test
    void anAcceptedIdIsNeverRefusedWhateverTheRepeatLooksLike() {
        world.submit(World.job(1, 1));
        assertEquals(
                200,
                world.ask("n1", "POST", "/api/jobs", World.job(1, 1).put("cpus", -1))
                        .status());
        assertEquals(
                200,
                world.ask("n2", "POST", "/api/jobs", World.job(1, 1).put("crew", "nobody"))
                        .status());
    }

    @Test
    void aLostAnswerOfTheStateServiceIsSettledBeforeTheUserHears() {
        int[] lost = new int[1];
        world.net.weather((from, to, call) ->
                call.target().equals("/txn") && new String(call.body()).contains("job/j-000001") && lost[0]++ == 0
                        ? Fate.ANSWER_LOST
                        : Fate.DELIVERED);
        assertEquals(200, world.submit(World.job(1, 1)));
        runUntilDone("j-000001");
    }

    @Test
    void acceptedJobsAreKnownOnEveryNodeAtOnce() {
        world.submit(World.job(1, 1));
        for (String node : List.of("n0", "n1", "n2")) {
            assertEquals(
                    200,
                    world.ask(node, "GET", "/api/jobs/j-000001", (JsonNode) null)
                            .status());
        }
    }

    @Test
    void nobodyElsesJobIsInvented() {
        assertEquals("404", world.poll("j-999999"));
        assertEquals("404", world.poll("job-1"));
        Response abort = world.ask("n0", "POST", "/api/jobs/j-999999/abort", (JsonNode) null);
        assertEquals(404, abort.status());
    }

    @Test
    void aCancelledJobStaysCancelledAndADoneOneDone() {
        world.submit(World.job(1, 1));
        runUntilDone("j-000001");
        assertEquals("done", World.stage(world.ask("n1", "POST", "/api/jobs/j-000001/abort", (JsonNode) null)));
        world.submit(World.job(2, 1));
        assertEquals("cancelled", World.stage(world.ask("n1", "POST", "/api/jobs/j-000002/abort", (JsonNode) null)));
        assertEquals("cancelled", World.stage(world.ask("n2", "POST", "/api/jobs/j-000002/abort", (JsonNode) null)));
        assertEquals(200, world.submit(World.job(2, 1)));
        world.loop.run(60);
        assertEquals("cancelled", world.poll("j-000002"));
        assertEquals(1, world.starts().size());
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
    void aMalformedJobIsRefused(String field, String value) {
        String body = new String(org.spruceridge.net.Json.bytes(World.job(5, 1)), StandardCharsets.UTF_8);
        String broken = body.replaceFirst("\"" + field + "\":(\"[^\"]*\"|[^,}]*)", "\"" + field + "\":" + value);
        Response r = world.ask("n1", "POST", "/api/jobs", broken.getBytes(StandardCharsets.UTF_8));
        assertEquals(400, r.status(), broken);
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "{", "[]", "7", "null", "{} {}", "{\"nameId\":\"j-1\",\"nameId\":\"j-1\"}"})
    void whatIsNoObjectIsRefused(String body) {
        Response r = world.ask("n1", "POST", "/api/jobs", body.getBytes(StandardCharsets.UTF_8));
        assertEquals(400, r.status());
    }

    @Test
    void whatCanNeverRunIsRefused() {
        assertEquals(422, world.submit(World.job(1, 1).put("crew", "nobody")));
        assertEquals(422, world.submit(World.job(2, 1).put("cpus", 9.0)));
        assertEquals(422, world.submit(World.job(3, 1).put("cpus", 20.0)));
        assertEquals(422, world.submit(World.job(4, 1).put("grove", "z9")));
        ObjectNode other = World.job(5, 1);
        other.putArray("builds").add("t9");
        assertEquals(422, world.submit(other));
        ObjectNode largerThanItsTeam = World.job(6, 100);
        assertEquals(201, world.submit(largerThanItsTeam), "an array may exceed its team's limit as a whole");
    }

    @Test
    void wrongPathsAndMethodsAreToldApart() {
        assertEquals(404, world.ask("n0", "GET", "/nothing", (JsonNode) null).status());
        assertEquals(
                405, world.ask("n0", "DELETE", "/api/jobs", (JsonNode) null).status());
        assertEquals(405, world.ask("n0", "GET", "/hello", (JsonNode) null).status());
        assertEquals(400, world.ask("n0", "POST", "/hello", (JsonNode) null).status());
        assertEquals(200, world.ask("n0", "GET", "/healthz", (JsonNode) null).status());
    }

    @Test
    void aNodeTellsHowLongThingsTake() throws Exception {
        world.submit(World.job(1, 1));
        runUntilDone("j-000001");
        Response r = world.ask("n0", "GET", "/metrics", (JsonNode) null);
        JsonNode users = org.spruceridge.net.Json.object(r.body()).path("users");
        assertTrue(users.path("count").asLong() > 0);
        assertTrue(users.path("maxMs").asDouble() >= users.path("p50Ms").asDouble());
    }

    @Test
    void aNodeThatAloneLostTheStateServiceIsUnhealthy() {
        world.net.weather(
                (from, to, call) -> from.equals("n1") && to.host().startsWith("10.2.0.1") ? Fate.LOST : Fate.DELIVERED);
        world.loop.run(8);
        assertEquals(503, world.ask("n1", "GET", "/healthz", (JsonNode) null).status());
        assertEquals(200, world.ask("n2", "GET", "/healthz", (JsonNode) null).status());
        world.net.clear();
        world.state.outage(10);
        world.loop.run(6);
        assertEquals(200, world.ask("n2", "GET", "/healthz", (JsonNode) null).status(), "an outage is common to all");
    }
}
