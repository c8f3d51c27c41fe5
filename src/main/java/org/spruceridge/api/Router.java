package org.spruceridge.api;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.spruceridge.net.Json;
import org.spruceridge.net.Latencies;
import org.spruceridge.net.Loop;
import org.spruceridge.net.Request;
import org.spruceridge.net.RequestHandler;
import org.spruceridge.net.RequestQueue;
import org.spruceridge.net.Response;

/** Hands each request to its endpoint. */
public final class Router implements RequestHandler {
    private static final String JOBS = "/api/jobs";
    private static final int RETRY_AFTER_S = 1;
    private static final String HEALTH = "/healthz";
    private static final String HEARTBEATS = "/hello";

    private final JobsEndpoint jobs;
    private final Function<byte[], Response> heartbeats;
    private final Runnable heartbeatDropped;
    private final BooleanSupplier isHealthy;
    private final Supplier<ObjectNode> metrics;
    private final Loop loop;
    private final Latencies latencies;

    /** {@code heartbeatDropped} is told when a report could not be taken in time. */
    public Router(
            JobsEndpoint jobs,
            Function<byte[], Response> heartbeats,
            Runnable heartbeatDropped,
            BooleanSupplier isHealthy,
            Supplier<ObjectNode> metrics,
            Loop loop,
            Latencies latencies) {
        this.jobs = jobs;
        this.heartbeats = heartbeats;
        this.heartbeatDropped = heartbeatDropped;
        this.isHealthy = isHealthy;
        this.metrics = metrics;
        this.loop = loop;
        this.latencies = latencies;
    }

    @Override
    public RequestQueue.Priority priority(Request request) {
        return switch (request.path()) {
            case HEALTH -> RequestQueue.Priority.HEALTH;
            case HEARTBEATS -> RequestQueue.Priority.HEARTBEAT;
            default -> RequestQueue.Priority.USER;
        };
    }

    @Override
    public Response refusal(Request request) {
        if (request.path().equals(HEARTBEATS)) {
            heartbeatDropped.run();
        }
        return Response.unavailable(RETRY_AFTER_S, "too busy");
    }

    @Override
    public void handle(Request request, Consumer<Response> answer) {
        String path = request.path();
        if (path.equals(HEARTBEATS)) {
            requireMethod("POST", request, answer, () -> timed(Latencies.Kind.HEARTBEATS, answer)
                    .accept(heartbeats.apply(request.body())));
        } else if (path.equals(HEALTH)) {
            requireMethod("GET", request, answer, () -> answer.accept(health()));
        } else if (path.equals("/metrics")) {
            requireMethod("GET", request, answer, () -> answer.accept(Response.of(200, metrics.get())));
        } else if (path.equals(JOBS)) {
            requireMethod(
                    "POST", request, answer, () -> jobs.submit(request.body(), timed(Latencies.Kind.USERS, answer)));
        } else if (path.startsWith(JOBS + "/")) {
            job(path.substring(JOBS.length() + 1), request, answer);
        } else {
            answer.accept(Response.error(404, "no such path"));
        }
    }

    private void job(String rest, Request request, Consumer<Response> answer) {
        int slash = rest.indexOf('/');
        if (slash < 0) {
            requireMethod("GET", request, answer, () -> jobs.poll(rest, timed(Latencies.Kind.USERS, answer)));
        } else if (rest.substring(slash).equals("/abort")) {
            requireMethod(
                    "POST",
                    request,
                    answer,
                    () -> jobs.abort(rest.substring(0, slash), timed(Latencies.Kind.USERS, answer)));
        } else {
            answer.accept(Response.error(404, "no such path"));
        }
    }

    private Consumer<Response> timed(Latencies.Kind kind, Consumer<Response> answer) {
        long receivedAt = loop.nanos();
        return response -> {
            latencies.record(kind, loop.nanos() - receivedAt);
            answer.accept(response);
        };
    }

    private Response health() {
        return isHealthy.getAsBoolean()
                ? Response.of(200, Json.object().put("status", "ok"))
                : Response.error(503, "cut off from the state service");
    }

    private static void requireMethod(String method, Request request, Consumer<Response> answer, Runnable action) {
        if (request.method().equals(method)) {
            action.run();
        } else {
            answer.accept(Response.error(405, "only " + method));
        }
    }
}
