package org.spruceridge.api;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.spruceridge.net.Json;
import org.spruceridge.net.Latencies;
import org.spruceridge.net.Request;
import org.spruceridge.net.Response;
import org.spruceridge.sim.SimLoop;

/** Tests the status and the complete text of error responses. */
final class ErrorResponseTest {
    private static String text(Response response) {
        return response.status() + " " + new String(response.body(), StandardCharsets.UTF_8);
    }

    @Test
    void jobErrorsContainReason() {
        assertEquals(
                "503 {\"error\":\"the state service does not answer now\"}", text(JobResponses.stateUnavailable()));
        assertEquals("400 {\"error\":\"the job is too large to store\"}", text(JobResponses.jobTooLarge()));
        assertEquals("500 {\"error\":\"unreadable record\"}", text(JobResponses.unreadableRecord()));
    }

    @Test
    void healthCheckOfUnhealthyNodeContainsReason() {
        SimLoop loop = new SimLoop();
        Router router = new Router(
                null,
                body -> Response.of(200, Json.object()),
                () -> {},
                () -> false,
                Json::object,
                loop,
                new Latencies(loop));
        List<String> responses = new ArrayList<>();
        router.handle(new Request("GET", "/healthz", new byte[0]), response -> responses.add(text(response)));
        assertEquals(List.of("503 {\"error\":\"cut off from the state service\"}"), responses);
    }
}
