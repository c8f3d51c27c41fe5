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
 * Many users at once, written from the published protocol: each repeats its request at another node a second after anything
 * but the answer that it needs, or after five seconds without an answer.
 */
public final class SimUsers {
    private static final double ANSWER_TIMEOUT_S = 5;
    private static final double RETRY_DELAY_S = 1;

    private final SimLoop loop;
    private final RuleChecker rules;
    private final Consumer<Call> send;
    private int unanswered;

    /** One request to one node, and who takes its answer. */
    record Call(String node, Request request, Consumer<Response> answer) {}

    SimUsers(SimLoop loop, RuleChecker rules, Consumer<Call> send) {
        this.loop = loop;
        this.rules = rules;
        this.send = send;
    }

    /** Requests that have not had the answer that they need. */
    public int unansweredCount() {
        return unanswered;
    }

    /** Submits these jobs, spread over these nodes. */
    public void submit(List<ObjectNode> jobs, List<String> nodes) {
        for (int i = 0; i < jobs.size(); i++) {
            ObjectNode job = jobs.get(i);
            rules.recordSubmission(job);
            Request request = new Request("POST", "/api/jobs", Json.bytes(job));
            new User(job.path("nameId").asText(), request, nodes).sendRequest(i);
        }
    }

    /** Cancels these jobs, spread over these nodes. */
    public void cancel(List<String> ids, List<String> nodes) {
        for (int i = 0; i < ids.size(); i++) {
            String id = ids.get(i);
            rules.recordCancelRequest(id);
            new User(id, new Request("POST", "/api/jobs/" + id + "/abort", new byte[0]), nodes).sendRequest(i);
        }
    }

    /** One user and the one request that it repeats. */
    private final class User {
        private final String job;
        private final Request request;
        private final List<String> nodes;

        User(String job, Request request, List<String> nodes) {
            this.job = job;
            this.request = request;
            this.nodes = nodes;
            unanswered++;
        }

        void sendRequest(int turn) {
            AtomicBoolean isOver = new AtomicBoolean();
            loop.after(Durations.nanos(ANSWER_TIMEOUT_S), () -> {
                if (!isOver.getAndSet(true)) {
                    sendRequest(turn + 1);
                }
            });
            send.accept(new Call(nodes.get(turn % nodes.size()), request, response -> {
                if (!isOver.getAndSet(true)) {
                    onAnswer(response, turn);
                }
            }));
        }

        private void onAnswer(Response response, int turn) {
            boolean accepted = response.status() == 200 || response.status() == 201;
            rules.recordAnswer(job, response.status(), accepted ? SimulatedCluster.stage(response) : "");
            if (accepted) {
                unanswered--;
            } else {
                loop.after(Durations.nanos(RETRY_DELAY_S), () -> sendRequest(turn + 1));
            }
        }
    }
}
