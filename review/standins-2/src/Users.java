import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** Users behind the load balancer: they submit, poll and cancel as the protocol page says, each job at a random node. */
final class Users {
    private static final class Told {
        boolean accepted;
        String finalStage;
        boolean cancelAsked;
        double lastPollAt = -100;
        double lastAnswerAt;
        double firstFailureAt = -1;
    }

    private final Cluster cluster;
    private final Random random;
    private final Map<String, Told> told = new HashMap<>();
    private volatile double pollEveryS = 5;

    Users(Cluster cluster, long seed) {
        this.cluster = cluster;
        this.random = new Random(seed);
        Http.daemon("polls", this::pollLoop);
    }

    void pollEvery(double seconds) {
        pollEveryS = seconds;
    }

    private synchronized Told told(String id) {
        return told.computeIfAbsent(id, any -> new Told());
    }

    synchronized boolean isAccepted(String id) {
        return told.containsKey(id) && told.get(id).accepted;
    }

    synchronized String finalStage(String id) {
        return told.containsKey(id) ? told.get(id).finalStage : null;
    }

    /** One request through the load balancer: another node is tried if a connection is refused. */
    Http.Response request(String method, String path, String body, int timeoutMs) {
        List<String> names = new ArrayList<>(cluster.nodeNames());
        java.util.Collections.shuffle(names, random);
        return request(names.get(0), method, path, body, timeoutMs);
    }

    Http.Response request(String node, String method, String path, String body, int timeoutMs) {
        Http.Client client = new Http.Client(cluster.serveAddress(node));
        Http.Response response = client.call(method, path, body, timeoutMs);
        client.close();
        return response;
    }

    /** Submits a job, and retries for up to 60 s. Returns the last status. */
    int submit(Map<String, Object> job) {
        cluster.rules().submitted(job);
        String id = (String) job.get("nameId");
        double until = cluster.record().seconds() + 60;
        int status = 0;
        while (cluster.record().seconds() < until) {
            Http.Response response = request("POST", "/api/jobs", Json.write(job), 5000);
            status = response.status();
            cluster.record().line("submit " + id + " -> " + status + " " + response.body());
            Told state = told(id);
            if (status == 200 || status == 201) {
                accept(id, response);
                return status;
            }
            if (status == 400 || status == 422) {
                if (state.accepted) {
                    cluster.rules().violation("forgotten", id + " accepted before, now " + status);
                }
                return status;
            }
            Http.sleep(1);
        }
        return status;
    }

    private synchronized void accept(String id, Http.Response response) {
        Told state = told.computeIfAbsent(id, any -> new Told());
        state.accepted = true;
        state.lastAnswerAt = cluster.record().seconds();
        String stage = (String) Json.object(response.body()).get("stage");
        if (state.finalStage != null && !state.finalStage.equals(stage)) {
            cluster.rules().violation("went_back", id + " was " + state.finalStage + ", is called " + stage);
        }
        if (stage.equals("done")) {
            long parts = Json.num(cluster.rules().job(id).get("parts"));
            if (cluster.rules().doneCount(id) < parts) {
                cluster.rules().violation("not_done", id + " has " + cluster.rules().doneCount(id) + " of " + parts);
            }
        }
        if (stage.equals("cancelled") && !state.cancelAsked) {
            cluster.rules().violation("went_back", id + " is called cancelled, but nobody cancelled it");
        }
        if (stage.equals("done") || stage.equals("cancelled")) {
            state.finalStage = stage;
            if (stage.equals("cancelled")) {
                cluster.rules().cancelled(id);
            }
        }
    }

    /** Cancels a job, and retries for up to 60 s. Returns the stage in the answer, or null. */
    String abort(String id) {
        told(id).cancelAsked = true;
        double until = cluster.record().seconds() + 60;
        while (cluster.record().seconds() < until) {
            Http.Response response = request("POST", "/api/jobs/" + id + "/abort", "", 5000);
            cluster.record().line("abort " + id + " -> " + response.status() + " " + response.body());
            if (response.status() == 200) {
                accept(id, response);
                return (String) Json.object(response.body()).get("stage");
            }
            Http.sleep(1);
        }
        return null;
    }

    /** Polls once. Returns the stage, or null if there was no usable answer. */
    String poll(String id) {
        Http.Response response = request("GET", "/api/jobs/" + id, "", 2000);
        cluster.record().line("poll " + id + " -> " + response.status() + " " + response.body());
        if (response.status() == 200) {
            accept(id, response);
            return (String) Json.object(response.body()).get("stage");
        }
        if (response.status() == 404 && isAccepted(id)) {
            cluster.rules().violation("forgotten", id + " is accepted, the poll got 404");
        }
        return null;
    }

    private void pollLoop() {
        while (true) {
            List<String> due = new ArrayList<>();
            synchronized (this) {
                told.forEach((id, state) -> {
                    if (state.accepted && cluster.record().seconds() - state.lastPollAt >= pollEveryS) {
                        state.lastPollAt = cluster.record().seconds();
                        due.add(id);
                    }
                });
            }
            for (String id : due) {
                Http.daemon("poll", () -> poll(id));
            }
            Http.sleep(0.2);
        }
    }
}
