import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** The worker of one machine, as the protocol page describes it: reports, commands, tokens, sessions and leases. */
final class Worker {
    private static final class Task {
        final String part;
        final long attempt;
        String stage = "fetching";
        String cause;
        boolean kept;
        double stageEndsAt;

        Task(String part, long attempt) {
            this.part = part;
            this.attempt = attempt;
        }
    }

    /** How a task runs: its run time in seconds; a task of a faulty machine or job fails after its run time. */
    interface Runs {
        double seconds(String part);

        default boolean fails(String part, String host) {
            return false;
        }
    }

    private final Cluster cluster;
    private final Rules.Place place;
    private final double cpus;
    private final double memGb;
    private final double gbPerS;
    private final Random random;
    private final Http.Server server;
    private final String endpoint;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private long watch = 1;
    private long tally;
    private long warrant;
    private Double warningEndsAt;
    private double answeredReportSentAt;
    private double lastReportAt = -100;
    private boolean changed = true;
    private final List<Http.Request> executedCommands = new ArrayList<>();
    private final List<String> sentReports = new ArrayList<>();
    private boolean gone;
    private double hungUntil = -1;
    private String node;
    private Http.Client client;

    Worker(Cluster cluster, Rules.Place place, Map<String, Object> build, long seed) throws IOException {
        this.cluster = cluster;
        this.place = place;
        this.cpus = Json.dbl(build.get("cpus"));
        this.memGb = Json.dbl(build.get("memGb"));
        this.gbPerS = Json.dbl(build.get("fetchGbPerS"));
        this.random = new Random(seed);
        this.server = new Http.Server(this::handle);
        this.endpoint = server.address();
        this.answeredReportSentAt = now();
        this.node = cluster.nodeNames().get(random.nextInt(cluster.nodeNames().size()));
        Http.daemon("worker-" + place.host(), this::reportLoop);
        Http.daemon("tasks-" + place.host(), this::taskLoop);
    }

    String endpoint() {
        return endpoint;
    }

    Rules.Place place() {
        return place;
    }

    private double now() {
        return cluster.record().seconds();
    }

    /** The machine stops with all that is on it. */
    void die() {
        synchronized (this) {
            gone = true;
            tasks.values().forEach(task -> leave(task, "machine gone"));
            tasks.clear();
            notifyAll();
        }
        server.stop();
    }

    /** The machine hangs: it executes nothing until then, and then goes on. */
    synchronized void hang(double seconds) {
        hungUntil = now() + seconds;
        cluster.record().line("hang " + place.host() + " for " + seconds + " s");
    }

    /** The cloud announces that it takes the machine in so many seconds. */
    synchronized void warn(double seconds) {
        warningEndsAt = now() + seconds;
        changed = true;
    }

    private void awaitRunning() {
        while (true) {
            double left;
            synchronized (this) {
                left = hungUntil - now();
            }
            if (left <= 0) {
                return;
            }
            Http.sleep(Math.min(left, 0.1));
        }
    }

    private void taskLoop() {
        while (true) {
            awaitRunning();
            synchronized (this) {
                if (gone) {
                    return;
                }
                expireLease();
                double now = now();
                for (Task task : tasks.values()) {
                    if (!task.stage.equals("ended") && now >= task.stageEndsAt) {
                        advance(task);
                    }
                }
            }
            Http.sleep(0.05);
        }
    }

    private void expireLease() {
        if (now() - answeredReportSentAt > cluster.leaseS()) {
            tasks.values().forEach(task -> leave(task, "lease expired"));
            if (!tasks.isEmpty()) {
                cluster.record().line("lease expired on " + place.host() + " with " + tasks.size() + " tasks");
            }
            tasks.clear();
            watch++;
            answeredReportSentAt = now();
            changed = true;
        }
    }

    private void advance(Task task) {
        switch (task.stage) {
            case "fetching" -> {
                Map<String, Object> job = cluster.rules().job(Rules.jobOf(task.part));
                images.add((String) job.get("bundle"));
                if (cluster.rules().isDone(task.part)) { // the result is kept
                    end(task, "done");
                    return;
                }
                task.stage = "running";
                task.stageEndsAt = now() + cluster.runs().seconds(task.part);
                cluster.rules().started(task.part, task.attempt, place);
            }
            case "running" -> {
                end(task, cluster.runs().fails(task.part, place.host()) ? "error" : "done");
            }
            case "saving" -> {
                task.kept = true;
                end(task, "stopped");
            }
            default -> throw new IllegalStateException(task.stage);
        }
        changed = true;
    }

    private void end(Task task, String cause) {
        leave(task, cause);
        task.stage = "ended";
        task.cause = cause;
        changed = true;
    }

    private void refuse(Task task, String cause) {
        cluster.rules().refused(task.part, place, cause);
        end(task, cause);
    }

    private void leave(Task task, String how) {
        if (task.stage.equals("running") || task.stage.equals("saving")) {
            cluster.rules().ended(task.part, task.attempt, place, how);
        }
    }

    private void reportLoop() {
        double next = now() + random.nextDouble() * 0.5;
        while (true) {
            awaitRunning();
            String body;
            long session;
            double sentAt;
            synchronized (this) {
                if (gone) {
                    return;
                }
                sentAt = now();
                boolean due = sentAt >= next || (changed && sentAt - lastReportAt >= 0.5);
                if (!due) {
                    body = null;
                    session = 0;
                } else {
                    changed = false;
                    lastReportAt = sentAt;
                    session = watch;
                    body = Json.write(status());
                    sentReports.add(body);
                }
            }
            if (body == null) {
                Http.sleep(0.05);
                continue;
            }
            if (client == null || !client.address().equals(cluster.addressForWorker(node, place))) {
                if (client != null) {
                    client.close();
                }
                client = new Http.Client(cluster.addressForWorker(node, place));
            }
            Http.Response response = client.call("POST", "/hello", body, 4000);
            awaitRunning();
            next = sentAt + cluster.reportS() * (0.75 + 0.5 * random.nextDouble());
            next = Math.max(next, handleResponse(response, session, sentAt));
        }
    }

    /** Handles the response; returns the earliest time of the next report. */
    private double handleResponse(Http.Response response, long session, double sentAt) {
        if (response.status() == 200) {
            Map<String, Object> body = Json.object(response.body());
            synchronized (this) {
                expireLease();
                Object token = body.get("warrant");
                if (gone || watch != session || token == null || Json.num(token) < warrant || now() - sentAt > 4) {
                    return 0;
                }
                raiseWarrant(Json.num(token));
                answeredReportSentAt = sentAt;
                execute(Json.list(body.get("orders")));
            }
            return 0;
        }
        Object steward = response.status() == 421 ? Json.object(response.body()).get("steward") : null;
        if (steward != null && !steward.equals(node) && cluster.nodeNames().contains(steward)) {
            node = (String) steward;
            synchronized (this) {
                changed = true;
            }
            return now() + random.nextDouble() * 0.5;
        }
        List<String> names = cluster.nodeNames();
        node = names.get((names.indexOf(node) + 1) % names.size());
        synchronized (this) {
            changed = true;
        }
        Http.sleep(1);
        return 0;
    }

    private void raiseWarrant(long token) {
        if (token > warrant) {
            warrant = token;
            changed = true;
        }
    }

    private Map<String, Object> status() {
        List<Object> parts = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> part = Json.of("part", task.part, "try", task.attempt, "stage", task.stage);
            if (task.cause != null) {
                part.put("cause", task.cause);
            }
            if (task.kept) {
                part.put("kept", true);
            }
            parts.add(part);
        }
        return Json.of(
                "host", place.host(), "endpoint", cluster.endpointOf(this), "build", place.build(),
                "grove", place.zone(), "windfall", place.spot(), "watch", watch, "tally", ++tally, "warrant", warrant,
                "warningS", warningEndsAt == null ? null : Math.max(0, warningEndsAt - now()), "parts", parts);
    }

    private Http.Response handle(Http.Request request) {
        awaitRunning();
        synchronized (this) {
            if (gone) {
                return Http.Response.NONE;
            }
            expireLease();
            if (request.path().equals("/status")) {
                return Http.Response.of(200, status());
            }
            if (!request.path().equals("/do") || request.body().isEmpty()) {
                return Http.Response.of(400, Json.of("error", "not a command"));
            }
            Map<String, Object> body = Json.object(request.body());
            if (body.get("warrant") == null || body.get("watch") == null) {
                return Http.Response.of(400, Json.of("error", "warrant or watch is missing"));
            }
            long token = Json.num(body.get("warrant"));
            if (token < warrant || Json.num(body.get("watch")) != watch) {
                cluster.record().line("refused command on " + place.host() + " " + request.body());
                return Http.Response.of(409, status());
            }
            raiseWarrant(token);
            executedCommands.add(request);
            execute(Json.list(body.get("orders")));
            return Http.Response.of(200, status());
        }
    }

    /** A late copy of a command that was carried out arrives once more. */
    void repeatCommand(Random choice) {
        Http.Request copy;
        synchronized (this) {
            if (executedCommands.isEmpty() || gone) {
                return;
            }
            copy = executedCommands.get(choice.nextInt(executedCommands.size()));
        }
        cluster.record().line("repeat command on " + place.host() + " " + copy.body());
        handle(copy);
    }

    /** A late copy of a report arrives at a node. */
    void repeatReport(Random choice, String atNode) {
        String copy;
        synchronized (this) {
            if (sentReports.isEmpty()) {
                return;
            }
            copy = sentReports.get(Math.max(0, sentReports.size() - 1 - choice.nextInt(20)));
        }
        Http.Client late = new Http.Client(cluster.serveAddress(atNode));
        late.call("POST", "/hello", copy, 4000);
        late.close();
    }

    private void execute(Collection<Object> orders) {
        for (Object item : orders) {
            Map<String, Object> order = Json.map(item);
            String part = (String) order.get("part");
            long attempt = Json.num(order.get("try"));
            String key = part + "#" + attempt;
            Task task = tasks.get(key);
            cluster.record().line("order on " + place.host() + " " + Json.write(order));
            switch ((String) order.get("verb")) {
                case "start" -> {
                    if (task == null) {
                        start(key, new Task(part, attempt));
                    }
                }
                case "halt" -> {
                    if (task != null) {
                        halt(task, Json.dbl(order.get("leewayS")));
                    }
                }
                case "forget" -> {
                    if (task != null && task.stage.equals("ended")) {
                        tasks.remove(key);
                    }
                }
                default -> throw new IllegalStateException("unknown verb");
            }
        }
    }

    private void start(String key, Task task) {
        Map<String, Object> job = cluster.rules().job(Rules.jobOf(task.part));
        double usedCpus = 0;
        double usedGb = 0;
        boolean inUse = false;
        for (Task other : tasks.values()) {
            if (!other.stage.equals("ended")) {
                Map<String, Object> otherJob = cluster.rules().job(Rules.jobOf(other.part));
                usedCpus += Json.dbl(otherJob.get("cpus"));
                usedGb += Json.dbl(otherJob.get("memGb"));
                inUse |= other.part.equals(task.part);
            }
        }
        tasks.put(key, task);
        changed = true;
        if (job == null || Rules.indexOf(task.part) >= Json.num(job.get("parts"))) {
            refuse(task, "unknown");
        } else if (inUse) {
            refuse(task, "in_use");
        } else if (usedCpus + Json.dbl(job.get("cpus")) > cpus + 1e-9
                || usedGb + Json.dbl(job.get("memGb")) > memGb + 1e-9) {
            refuse(task, "no_room");
        } else {
            double fetchS = images.contains(job.get("bundle")) ? 0 : Json.dbl(job.get("pullGb")) / gbPerS;
            task.stageEndsAt = now() + fetchS;
        }
    }

    private void halt(Task task, double leewayS) {
        Map<String, Object> job = cluster.rules().job(Rules.jobOf(task.part));
        double markS = Json.dbl(job.get("markS"));
        if (task.stage.equals("running") && Json.dbl(job.get("markEveryS")) > 0 && leewayS >= markS) {
            task.stage = "saving";
            task.stageEndsAt = now() + markS;
            changed = true;
        } else if (task.stage.equals("fetching") || task.stage.equals("running")
                || (task.stage.equals("saving") && leewayS == 0)) {
            end(task, "stopped");
        }
    }
}
