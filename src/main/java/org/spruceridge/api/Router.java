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
    private static final String REPORTS = "/hello";

    private final JobsEndpoint jobs;
    private final Function<byte[], Response> heartbeats;
    private final Runnable reportsMissed;
    private final BooleanSupplier healthy;
    private final Supplier<ObjectNode> metrics;
    private final Loop loop;
    private final Latencies latencies;

    /** {@code reportsMissed} is told when a report could not be taken in time. */
    public Router(
            JobsEndpoint jobs,
            Function<byte[], Response> heartbeats,
            Runnable reportsMissed,
            BooleanSupplier healthy,
            Supplier<ObjectNode> metrics,
            Loop loop,
            Latencies latencies) {
        this.jobs = jobs;
        this.heartbeats = heartbeats;
        this.reportsMissed = reportsMissed;
        this.healthy = healthy;
        this.metrics = metrics;
        this.loop = loop;
        this.latencies = latencies;
    }

    @Override
    public RequestQueue.Priority priority(Request request) {
        return switch (request.path()) {
            case HEALTH -> RequestQueue.Priority.HEALTH;
            case REPORTS -> RequestQueue.Priority.HEARTBEAT;
            default -> RequestQueue.Priority.USER;
        };
    }

    @Override
    public Response refusal(Request request) {
        if (request.path().equals(REPORTS)) {
            reportsMissed.run();
        }
        return Response.unavailable(RETRY_AFTER_S, "too busy");
    }

    @Override
    public void handle(Request request, Consumer<Response> answer) {
        String path = request.path();
        if (path.equals(REPORTS)) {
            only("POST", request, answer, () -> timed(Latencies.Kind.HEARTBEATS, answer)
                    .accept(heartbeats.apply(request.body())));
        } else if (path.equals(HEALTH)) {
            only("GET", request, answer, () -> answer.accept(health()));
        } else if (path.equals("/metrics")) {
            only("GET", request, answer, () -> answer.accept(Response.of(200, metrics.get())));
        } else if (path.equals(JOBS)) {
            only("POST", request, answer, () -> jobs.submit(request.body(), timed(Latencies.Kind.USERS, answer)));
        } else if (path.startsWith(JOBS + "/")) {
            job(path.substring(JOBS.length() + 1), request, answer);
        } else {
            answer.accept(Response.error(404, "no such path"));
        }
    }

    private void job(String rest, Request request, Consumer<Response> answer) {
        int slash = rest.indexOf('/');
        if (slash < 0) {
            only("GET", request, answer, () -> jobs.poll(rest, timed(Latencies.Kind.USERS, answer)));
        } else if (rest.substring(slash).equals("/abort")) {
            only(
                    "POST",
                    request,
                    answer,
                    () -> jobs.abort(rest.substring(0, slash), timed(Latencies.Kind.USERS, answer)));
        } else {
            answer.accept(Response.error(404, "no such path"));
        }
    }

    private Consumer<Response> timed(Latencies.Kind kind, Consumer<Response> answer) {
        long came = loop.nanos();
        return response -> {
            latencies.record(kind, loop.nanos() - came);
            answer.accept(response);
        };
    }

    private Response health() {
        return healthy.getAsBoolean()
                ? Response.of(200, Json.object().put("status", "ok"))
                : Response.error(503, "cut off from the state service");
    }

    private static void only(String method, Request request, Consumer<Response> answer, Runnable then) {
        if (request.method().equals(method)) {
            then.run();
        } else {
            answer.accept(Response.error(405, "only " + method));
        }
    }
}
