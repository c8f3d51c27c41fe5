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

/** Dispatches each HTTP request to its endpoint, by path and method. */
public final class Router implements RequestHandler {
    private static final String JOBS_PATH = "/api/jobs";
    private static final String HEALTH_PATH = "/healthz";
    private static final String HEARTBEATS_PATH = "/hello";
    private static final String METRICS_PATH = "/metrics";
    private static final String ABORT_SUFFIX = "/abort";
    private static final int RETRY_AFTER_S = 1;

    private final JobsEndpoint jobs;
    private final Function<byte[], Response> heartbeats;
    private final Runnable heartbeatDropped;
    private final BooleanSupplier isHealthy;
    private final Supplier<ObjectNode> metrics;
    private final Loop loop;
    private final Latencies latencies;

    /** {@code heartbeatDropped} runs for each worker heartbeat that is refused under load. */
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
            case HEALTH_PATH -> RequestQueue.Priority.HEALTH;
            case HEARTBEATS_PATH -> RequestQueue.Priority.HEARTBEAT;
            default -> RequestQueue.Priority.USER;
        };
    }

    @Override
    public Response refusal(Request request) {
        if (request.path().equals(HEARTBEATS_PATH)) {
            heartbeatDropped.run();
        }
        return Response.unavailable(RETRY_AFTER_S, "too busy");
    }

    @Override
    public void handle(Request request, Consumer<Response> answer) {
        String path = request.path();
        if (path.equals(HEARTBEATS_PATH)) {
            requireMethod("POST", request, answer, () -> timed(Latencies.Kind.HEARTBEATS, answer)
                    .accept(heartbeats.apply(request.body())));
        } else if (path.equals(HEALTH_PATH)) {
            requireMethod("GET", request, answer, () -> answer.accept(health()));
        } else if (path.equals(METRICS_PATH)) {
            requireMethod("GET", request, answer, () -> answer.accept(Response.of(200, metrics.get())));
        } else if (path.equals(JOBS_PATH)) {
            requireMethod(
                    "POST", request, answer, () -> jobs.submit(request.body(), timed(Latencies.Kind.USERS, answer)));
        } else if (path.startsWith(JOBS_PATH + "/")) {
            dispatchJob(path.substring(JOBS_PATH.length() + 1), request, answer);
        } else {
            answer.accept(Response.error(404, "no such path"));
        }
    }

    /** {@code rest} is the path after the jobs path: an id, or an id and an action. */
    private void dispatchJob(String rest, Request request, Consumer<Response> answer) {
        int slash = rest.indexOf('/');
        if (slash < 0) {
            requireMethod("GET", request, answer, () -> jobs.poll(rest, timed(Latencies.Kind.USERS, answer)));
        } else if (rest.substring(slash).equals(ABORT_SUFFIX)) {
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
