package org.spruceridge.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Json;
import org.spruceridge.net.Request;
import org.spruceridge.net.Response;

/**
 * Many concurrent users, implemented from the published protocol. Each user retries its request at the next node,
 * either 1 s after a response other than 200 or 201, or after 5 s without a response.
 */
public final class SimUsers {
    private static final double RESPONSE_TIMEOUT_S = 5;
    private static final double RETRY_DELAY_S = 1;

    private final SimLoop loop;
    private final RuleChecker rules;
    private final Consumer<Call> sender;
    private int pendingRequestCount;

    /** A request to one node, and the callback that receives the response. */
    record Call(String node, Request request, Consumer<Response> onResponse) {}

    SimUsers(SimLoop loop, RuleChecker rules, Consumer<Call> sender) {
        this.loop = loop;
        this.rules = rules;
        this.sender = sender;
    }

    /** The number of requests that have not been answered with 200 or 201 yet. */
    public int unansweredCount() {
        return pendingRequestCount;
    }

    /** Submits each job through a user of its own; the users send their first requests to the nodes in turn. */
    public void submit(List<ObjectNode> jobs, List<String> nodes) {
        for (int i = 0; i < jobs.size(); i++) {
            ObjectNode job = jobs.get(i);
            rules.recordSubmission(job);
            Request request = new Request("POST", "/api/jobs", Json.bytes(job));
            new User(job.path("nameId").asText(), request, nodes).sendRequest(i);
        }
    }

    /** Cancels each job through a user of its own; the users send their first requests to the nodes in turn. */
    public void cancel(List<String> ids, List<String> nodes) {
        for (int i = 0; i < ids.size(); i++) {
            String id = ids.get(i);
            rules.recordCancelRequest(id);
            new User(id, new Request("POST", "/api/jobs/" + id + "/abort", new byte[0]), nodes).sendRequest(i);
        }
    }

    /** A user who retries one request until it is accepted. */
    private final class User {
        private final String jobId;
        private final Request request;
        private final List<String> nodes;

        User(String job, Request request, List<String> nodes) {
            this.jobId = job;
            this.request = request;
            this.nodes = nodes;
            pendingRequestCount++;
        }

        void sendRequest(int attempt) {
            AtomicBoolean isAttemptOver = new AtomicBoolean();
            loop.after(Durations.nanos(RESPONSE_TIMEOUT_S), () -> {
                if (!isAttemptOver.getAndSet(true)) {
                    sendRequest(attempt + 1);
                }
            });
            sender.accept(new Call(nodes.get(attempt % nodes.size()), request, response -> {
                if (!isAttemptOver.getAndSet(true)) {
                    onResponse(response, attempt);
                }
            }));
        }

        private void onResponse(Response response, int attempt) {
            boolean accepted = response.status() == 200 || response.status() == 201;
            rules.recordResponse(jobId, response.status(), accepted ? SimulatedCluster.stage(response) : "");
            if (accepted) {
                pendingRequestCount--;
            } else {
                loop.after(Durations.nanos(RETRY_DELAY_S), () -> sendRequest(attempt + 1));
            }
        }
    }
}
