package org.spruceridge.sim;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.spruceridge.config.Address;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Durations;
import org.spruceridge.net.HttpAnswer;
import org.spruceridge.net.HttpCall;
import org.spruceridge.net.HttpClient;
import org.spruceridge.net.Json;

/** A worker, written from its published protocol, on the simulated loop. */
public final class SimWorker {
    private final SimulatedCluster cluster;
    private final SimLoop.ProcessLoop process;
    private final HttpClient http;
    private final String name;
    private final String zone;
    private final boolean spot;
    private final Map<String, Task> tasks = new TreeMap<>();
    private final List<String> nodes;
    private int node;
    private long incarnation = 1;
    private long sequence;
    private long fencingToken;
    private long leaseStart;
    private long lastSent = Long.MIN_VALUE / 2;
    private long tokenAnnouncedAt = Long.MIN_VALUE / 2;
    private boolean isAwaitingAnswer;
    private boolean isHung;
    private final List<Runnable> deferred = new ArrayList<>();
    private Double interruptionNoticeS;

    /** What a started task does. */
    public enum Behaviour {
        COMPLETES,
        FAILS,
        /** Replicas of services end too. */
        ENDS_SERVICES
    }

    private static final class Task {
        private final String id;
        private final long attempt;
        private String stage = "running";
        private String cause;

        Task(String id, long attempt) {
            this.id = id;
            this.attempt = attempt;
        }
    }

    private Behaviour behaviour = Behaviour.COMPLETES;

    SimWorker(SimulatedCluster cluster, String name, String zone, boolean spot) {
        this.cluster = cluster;
        this.process = new SimLoop.ProcessLoop(cluster.loop);
        this.http = cluster.net.client(name, process);
        this.name = name;
        this.zone = zone;
        this.spot = spot;
        this.nodes = cluster.nodes.names();
        this.leaseStart = cluster.loop.nanos();
        cluster.net.serve(address(name), this::acceptCommands);
        heartbeat();
        checkLease();
    }

    public String name() {
        return name;
    }

    public void setBehaviour(Behaviour next) {
        behaviour = next;
    }

    /** True if the job allows this machine's zone and kind. */
    boolean fits(ObjectNode job) {
        boolean zoneFits =
                !job.hasNonNull("grove") || job.path("grove").asText().equals(zone);
        return zoneFits && (!spot || job.path("windfall").asBoolean());
    }

    /** Announces in its heartbeats that the cloud will reclaim the machine in so many seconds. */
    public void announceInterruption(double seconds) {
        interruptionNoticeS = seconds;
    }

    /**
     * Lets the machine hang: commands and answers that come meanwhile wait until {@link #resume}. It can go on with its
     * tasks only within its lease, so they count as stopped from the lease's end.
     */
    public void hang() {
        isHung = true;
    }

    /** Ends {@link #hang}: the machine carries out what came meanwhile. */
    public void resume() {
        isHung = false;
        List<Runnable> late = List.copyOf(deferred);
        deferred.clear();
        late.forEach(Runnable::run);
    }

    /** Restarts the machine at once: its tasks are lost, and so is the state of its worker. */
    public void restart() {
        tasks.values().forEach(t -> cluster.taskEnded(t.id, name));
        tasks.clear();
        incarnation++;
        fencingToken = 0;
        leaseStart = cluster.loop.nanos();
    }

    /** Starts a task that no leader has bound to this machine. */
    public void startUnboundTask(String id, long attempt) {
        startTask(new Task(id, attempt), id + "#" + attempt);
    }

    /** Ends all replicas of services on the machine with this cause. */
    public void endReplicas(String cause) {
        for (Task task : List.copyOf(tasks.values())) {
            if (cluster.isReplica(task.id) && !task.stage.equals("ended")) {
                endTask(task, cause);
            }
        }
    }

    /** Tasks that are on the machine now. */
    public List<String> running() {
        return tasks.values().stream()
                .filter(t -> !t.stage.equals("ended"))
                .map(t -> t.id)
                .toList();
    }

    /** Where the worker with this name accepts direct commands. */
    public static Address address(String name) {
        return new Address("10.1.0." + name, 9000);
    }

    private void acceptCommands(HttpCall call, Consumer<HttpAnswer> answer) {
        if (isHung) {
            deferred.add(() -> acceptCommands(call, answer));
            return;
        }
        try {
            JsonNode body = Json.object(call.body());
            boolean valid = Json.nonNegativeLong(body, "warrant") >= fencingToken
                    && Json.nonNegativeLong(body, "watch") == incarnation;
            if (valid) {
                fencingToken = Json.nonNegativeLong(body, "warrant");
                for (JsonNode command : Json.list(body, "orders")) {
                    execute(command);
                }
            }
            sequence++;
            answer.accept(new HttpAnswer(valid ? 200 : 409, Json.bytes(body())));
        } catch (BadMessageException e) {
            throw new AssertionError(e);
        }
    }

    void kill() {
        process.kill();
        cluster.net.remove(address(name));
        tasks.values().forEach(t -> cluster.taskEnded(t.id, name));
        tasks.clear();
    }

    private void checkLease() {
        if (cluster.loop.nanos() - leaseStart > Durations.nanos(SimulatedCluster.LEASE_S)) {
            incarnation++;
            leaseStart = cluster.loop.nanos();
            tasks.values().forEach(t -> cluster.taskEnded(t.id, name));
            tasks.clear();
        }
        process.after(Durations.millis(50), this::checkLease);
    }

    private void heartbeat() {
        process.after(Durations.nanos(SimulatedCluster.HEARTBEAT_INTERVAL_S), this::heartbeat);
        if (!isHung) {
            send();
        }
    }

    /** A higher fencing token is announced by an extra heartbeat, at most once in half a lease, as in the protocol. */
    private void announceToken() {
        long now = cluster.loop.nanos();
        if (now - tokenAnnouncedAt >= Durations.nanos(SimulatedCluster.LEASE_S / 2)) {
            tokenAnnouncedAt = now;
            sendSoon();
        }
    }

    private void sendSoon() {
        long wait = lastSent + Durations.millis(500) - cluster.loop.nanos();
        process.after(Math.max(0, wait), this::send);
    }

    private void send() {
        if (isAwaitingAnswer || isHung) {
            return;
        }
        isAwaitingAnswer = true;
        sequence++;
        long sentAt = cluster.loop.nanos();
        lastSent = sentAt;
        long sentIncarnation = incarnation;
        Address to = SimulatedCluster.address(nodes.get(node));
        http.call(to, HttpCall.post("/hello", Json.bytes(body())), Durations.nanos(4), answer -> {
            isAwaitingAnswer = false;
            onAnswer(answer, sentAt, sentIncarnation);
        });
    }

    private ObjectNode body() {
        ObjectNode out = Json.object()
                .put("host", name)
                .put("endpoint", address(name).toString())
                .put("build", "t8")
                .put("grove", zone)
                .put("windfall", spot)
                .put("watch", incarnation)
                .put("tally", sequence)
                .put("warrant", fencingToken)
                .put("warningS", interruptionNoticeS);
        ArrayNode parts = out.putArray("parts");
        for (Task t : tasks.values()) {
            parts.addObject()
                    .put("part", t.id)
                    .put("try", t.attempt)
                    .put("stage", t.stage)
                    .put("cause", t.cause);
        }
        return out;
    }

    private void onAnswer(HttpAnswer answer, long sentAt, long sentIncarnation) {
        if (isHung) {
            deferred.add(() -> onAnswer(HttpAnswer.noResponse(), sentAt, sentIncarnation)); // by then it is too old
            return;
        }
        if (answer.status() != 200) {
            node = nextNode(answer);
            process.after(Durations.millis(answer.status() == 421 ? 100 : 1000), this::send);
            return;
        }
        try {
            JsonNode body = Json.object(answer.body());
            long received = Json.nonNegativeLong(body, "warrant");
            if (received < fencingToken || sentIncarnation != incarnation) {
                return;
            }
            if (received > fencingToken) {
                fencingToken = received;
                announceToken();
            }
            leaseStart = sentAt;
            for (JsonNode command : Json.list(body, "orders")) {
                execute(command);
            }
        } catch (BadMessageException e) {
            throw new AssertionError(e);
        }
    }

    private int nextNode(HttpAnswer answer) {
        if (answer.status() == 421) {
            try {
                JsonNode leaderName = Json.object(answer.body()).path("steward");
                if (nodes.contains(leaderName.asText())) {
                    return nodes.indexOf(leaderName.asText());
                }
            } catch (BadMessageException e) {
                throw new AssertionError(e);
            }
        }
        return (node + 1) % nodes.size();
    }

    private void execute(JsonNode command) throws BadMessageException {
        String id = Json.text(command, "part");
        long attempt = Json.nonNegativeLong(command, "try");
        String key = id + "#" + attempt;
        Task task = tasks.get(key);
        switch (Json.text(command, "verb")) {
            case "start" -> {
                if (task == null) {
                    startTask(new Task(id, attempt), key);
                }
            }
            case "halt" -> {
                if (task != null && !task.stage.equals("ended")) {
                    endTask(task, "stopped");
                }
            }
            case "forget" -> {
                if (task != null && task.stage.equals("ended")) {
                    tasks.remove(key);
                }
            }
            default -> throw new AssertionError(command);
        }
    }

    private void startTask(Task task, String key) {
        tasks.put(key, task);
        cluster.taskStarted(task.id, this, zone, spot);
        sendSoon();
        boolean ends = !cluster.isReplica(task.id) || behaviour != Behaviour.COMPLETES;
        if (ends) {
            process.after(Durations.nanos(cluster.durationS(task.id)), () -> complete(task, key));
        }
    }

    private void complete(Task task, String key) {
        if (isHung) {
            deferred.add(() -> complete(task, key));
        } else if (tasks.get(key) == task && !task.stage.equals("ended")) {
            endTask(task, behaviour == Behaviour.FAILS ? "error" : "done");
        }
    }

    private void endTask(Task task, String cause) {
        task.stage = "ended";
        task.cause = cause;
        cluster.taskEnded(task.id, name);
        if (cause.equals("done") && !cluster.isReplica(task.id)) {
            cluster.taskCompleted(task.id);
        }
        sendSoon();
    }
}
