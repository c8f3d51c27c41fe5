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
    private final Function<byte[], Response> heartbeatHandler;
    private final Runnable onHeartbeatDropped;
    private final BooleanSupplier isHealthy;
    private final Supplier<ObjectNode> metrics;
    private final Loop loop;
    private final Latencies latencies;

    /** {@code onHeartbeatDropped} runs for each worker heartbeat that is rejected because the node is overloaded. */
    public Router(
            JobsEndpoint jobs,
            Function<byte[], Response> heartbeatHandler,
            Runnable onHeartbeatDropped,
            BooleanSupplier isHealthy,
            Supplier<ObjectNode> metrics,
            Loop loop,
            Latencies latencies) {
        this.jobs = jobs;
        this.heartbeatHandler = heartbeatHandler;
        this.onHeartbeatDropped = onHeartbeatDropped;
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
    public Response overloadResponse(Request request) {
        if (request.path().equals(HEARTBEATS_PATH)) {
            onHeartbeatDropped.run();
        }
        return Response.unavailable(RETRY_AFTER_S, "too busy");
    }

    @Override
    public void handle(Request request, Consumer<Response> onResponse) {
        String path = request.path();
        if (path.equals(HEARTBEATS_PATH)) {
            requireMethod("POST", request, onResponse, () -> recordingLatency(Latencies.Kind.HEARTBEATS, onResponse)
                    .accept(heartbeatHandler.apply(request.body())));
        } else if (path.equals(HEALTH_PATH)) {
            requireMethod("GET", request, onResponse, () -> onResponse.accept(healthResponse()));
        } else if (path.equals(METRICS_PATH)) {
            requireMethod("GET", request, onResponse, () -> onResponse.accept(Response.of(200, metrics.get())));
        } else if (path.equals(JOBS_PATH)) {
            requireMethod(
                    "POST",
                    request,
                    onResponse,
                    () -> jobs.submit(request.body(), recordingLatency(Latencies.Kind.USERS, onResponse)));
        } else if (path.startsWith(JOBS_PATH + "/")) {
            dispatchJobRequest(path.substring(JOBS_PATH.length() + 1), request, onResponse);
        } else {
            onResponse.accept(Response.error(404, "no such path"));
        }
    }

    /** {@code jobPath} is the part after {@link #JOBS_PATH} and a slash: a job id, or a job id and an action. */
    private void dispatchJobRequest(String jobPath, Request request, Consumer<Response> onResponse) {
        int slash = jobPath.indexOf('/');
        if (slash < 0) {
            requireMethod(
                    "GET",
                    request,
                    onResponse,
                    () -> jobs.poll(jobPath, recordingLatency(Latencies.Kind.USERS, onResponse)));
        } else if (jobPath.substring(slash).equals(ABORT_SUFFIX)) {
            requireMethod(
                    "POST",
                    request,
                    onResponse,
                    () -> jobs.abort(jobPath.substring(0, slash), recordingLatency(Latencies.Kind.USERS, onResponse)));
        } else {
            onResponse.accept(Response.error(404, "no such path"));
        }
    }

    /** Returns a callback that records the time since this call as a latency, and then calls {@code onResponse}. */
    private Consumer<Response> recordingLatency(Latencies.Kind kind, Consumer<Response> onResponse) {
        long receivedAt = loop.nanos();
        return response -> {
            latencies.record(kind, loop.nanos() - receivedAt);
            onResponse.accept(response);
        };
    }

    private Response healthResponse() {
        return isHealthy.getAsBoolean()
                ? Response.of(200, Json.object().put("status", "ok"))
                : Response.error(503, "cut off from the state service");
    }

    private static void requireMethod(String method, Request request, Consumer<Response> onResponse, Runnable action) {
        if (request.method().equals(method)) {
            action.run();
        } else {
            onResponse.accept(Response.error(405, "only " + method));
        }
    }
}
