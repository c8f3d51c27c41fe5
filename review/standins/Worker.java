package review;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;

/** A worker of the protocol page: reports, commands, session, tokens and tasks. */
final class Worker {
    /** What the worker knows from its own installation: the nodes, by name, in order; and the users' uploads. */
    record Site(Map<String, Integer> nodePorts, Map<String, Map<String, Object>> jobs, double reportS, double leaseS) {}

    private static final class Task {
        final String part;
        final long attempt;
        String stage;
        String cause;

        Task(String part, long attempt, String stage) {
            this.part = part;
            this.attempt = attempt;
            this.stage = stage;
        }
    }

    /** Decides how a task that has started ends: its run time in seconds, and its cause. */
    interface Ending {
        Map.Entry<Double, String> of(String part, long attempt);
    }

    private final Recorder recorder;
    private final Site site;
    private final String name;
    private final String zone;
    private final boolean spot;
    private final Ending ending;
    private final Random random;
    private final Http.Server server;
    private String endpoint;
    private final Map<String, Task> tasks = new LinkedHashMap<>();
    private final Set<String> images = new HashSet<>();
    private long watch = 1;
    private long tally;
    private long warrant;
    private long leaseFrom = System.nanoTime();
    private long sentAt = System.nanoTime() - 10_000_000_000L;
    private long nextAt;
    private long tokenChangeAt = System.nanoTime() - 100_000_000_000L;
    private boolean changed;
    private boolean reporting;
    private boolean known;
    private long noticeUntil;
    private volatile boolean stopped;

    Worker(Recorder recorder, Site site, String name, String zone, boolean spot, Ending ending, long seed)
            throws IOException {
        this.recorder = recorder;
        this.site = site;
        this.name = name;
        this.zone = zone;
        this.spot = spot;
        this.ending = ending;
        this.random = new Random(seed);
        this.server = new Http.Server(name, this::handle);
        this.endpoint = Http.LOCAL + ":" + server.port();
    }

    String name() {
        return name;
    }

    String zone() {
        return zone;
    }

    boolean isSpot() {
        return spot;
    }

    String endpoint() {
        return endpoint;
    }

    int port() {
        return server.port();
    }

    /** Puts a proxy before the address for direct commands; called before {@link #start}. */
    void setEndpointPort(int port) {
        endpoint = Http.LOCAL + ":" + port;
    }

    void start() {
        nextAt = System.nanoTime();
        Http.daemon(name + "-reports", this::report);
        Http.daemon(name + "-lease", this::watchLease);
    }

    /** The machine is gone, with everything on it. */
    synchronized void stop(String why) {
        if (!stopped) {
            stopped = true;
            clear(why);
            server.close();
        }
    }

    private void clear(String why) {
        tasks.values().forEach(task -> recorder.taskOff(task.part, task.attempt, name, why));
        tasks.clear();
    }

    /** The cloud's notice that it takes this spot machine back. */
    synchronized void notice(double seconds) {
        noticeUntil = System.nanoTime() + (long) (seconds * 1e9);
        recorder.write(name, "gets the notice that the cloud takes it back in " + seconds + " s");
        change();
    }

    /** True while a report is on its way or its answer is awaited. */
    synchronized boolean isReporting() {
        return reporting;
    }

    /** Milliseconds until the next periodic report. */
    synchronized long untilReportMs() {
        return (nextAt - System.nanoTime()) / 1_000_000;
    }

    /** True once a report with a token was answered: from then on, the leader can start tasks here. */
    synchronized boolean isKnown() {
        return known;
    }

    /** The stage of an attempt; null if the worker does not know it. */
    synchronized String stage(String part, long attempt) {
        Task task = tasks.get(part + "#" + attempt);
        return task == null ? null : task.stage;
    }

    private void change() {
        changed = true;
        notifyAll();
    }

    private void watchLease() {
        while (!stopped) {
            Http.sleep(20);
            synchronized (this) {
                if (!stopped && System.nanoTime() - leaseFrom > site.leaseS() * 1e9) {
                    recorder.write(name, "session " + watch + " has ended: lease");
                    clear("the session ended");
                    watch++;
                    leaseFrom = System.nanoTime();
                    change();
                }
            }
        }
    }

    private String body() {
        tally++;
        List<Object> parts = new ArrayList<>();
        for (Task task : tasks.values()) {
            Map<String, Object> part = Json.of("part", task.part, "try", task.attempt, "stage", task.stage);
            if (task.cause != null) {
                part.put("cause", task.cause);
            }
            parts.add(part);
        }
        Object warning = noticeUntil == 0 ? null : Math.max(0.0, (noticeUntil - System.nanoTime()) / 1e9);
        return Json.write(Json.of("host", name, "endpoint", endpoint, "build", "tui-quad", "grove", zone, "windfall",
                spot, "watch", watch, "tally", tally, "warrant", warrant, "warningS", warning, "parts", parts));
    }

    private void report() {
        List<String> names = new ArrayList<>(site.nodePorts().keySet());
        Map<String, Http.Connection> connections = new LinkedHashMap<>();
        site.nodePorts().forEach((node, port) -> connections.put(node, new Http.Connection(port)));
        int current = random.nextInt(names.size());
        while (!stopped) {
            String body;
            long session;
            long sent;
            long token;
            synchronized (this) {
                try {
                    long now = System.nanoTime();
                    while (!stopped && now < nextAt && !(changed && now - sentAt >= 500_000_000L)) {
                        long wake = changed ? Math.min(nextAt, sentAt + 500_000_000L) : nextAt;
                        wait(Math.max(1, (wake - now) / 1_000_000));
                        now = System.nanoTime();
                    }
                } catch (InterruptedException e) {
                    return;
                }
                if (stopped) {
                    return;
                }
                changed = false;
                body = body();
                session = watch;
                token = warrant;
                sentAt = System.nanoTime();
                sent = sentAt;
                nextAt = sent + (long) (site.reportS() * (0.75 + 0.5 * random.nextDouble()) * 1e9);
                reporting = true;
            }
            String node = names.get(current);
            recorder.write(name, "report to " + node + ": " + body);
            Http.Message response = null;
            try {
                response = connections.get(node).call(Http.request("POST", "/hello", body), 4000);
            } catch (IOException e) {
                recorder.write(name, "no answer from " + node + ": " + e.getMessage());
            }
            if (System.nanoTime() - sent > 4_000_000_000L) {
                response = null;
            }
            if (response != null) {
                recorder.write(name, "answer of " + node + ": " + response.status() + " " + response.text());
            }
            synchronized (this) {
                reporting = false;
                if (stopped) {
                    return;
                }
                if (response != null && response.status() == 200) {
                    known |= token > 0;
                    accept(response.json(), session, sent);
                    continue;
                }
            }
            Object steward = response != null && response.status() == 421 ? response.json().get("steward") : null;
            if (steward != null && !steward.equals(node) && names.contains(steward)) {
                connections.get(node).close();
                current = names.indexOf(steward);
                Http.sleep(random.nextInt(100));
            } else {
                current = (current + 1) % names.size();
                Http.sleep(1000);
            }
            synchronized (this) {
                nextAt = System.nanoTime();
            }
        }
    }

    private void accept(Map<String, Object> response, long session, long sent) {
        long token = Json.num(response, "warrant", -1);
        if (session != watch || token < warrant) {
            recorder.write(name, "drops the answer");
            return;
        }
        leaseFrom = sent;
        see(token);
        execute(response.get("orders"));
    }

    private void see(long token) {
        if (token > warrant) {
            warrant = token;
            if (System.nanoTime() - tokenChangeAt > site.leaseS() / 2 * 1e9) {
                tokenChangeAt = System.nanoTime();
                change();
            }
        }
    }

    private Http.Message handle(Http.Message request) {
        synchronized (this) {
            if (stopped) {
                return null;
            }
            if (request.path().equals("/status")) {
                return Http.response(200, body());
            }
            Map<String, Object> json = request.json();
            if (!json.containsKey("warrant") || !json.containsKey("watch")) {
                return Http.response(400, "{}");
            }
            boolean valid = Json.num(json, "warrant", -1) >= warrant && Json.num(json, "watch", -1) == watch;
            recorder.write(name, "direct command " + (valid ? "executed" : "refused") + ": " + request.text());
            if (valid) {
                see(Json.num(json, "warrant", -1));
                execute(json.get("orders"));
            }
            String body = body();
            recorder.write(name, "answer to the direct command: " + body);
            return Http.response(valid ? 200 : 409, body);
        }
    }

    private void execute(Object orders) {
        for (Map<String, Object> order : Json.objects(orders)) {
            String part = (String) order.get("part");
            long attempt = Json.num(order, "try", -1);
            String key = part + "#" + attempt;
            Task task = tasks.get(key);
            switch ((String) order.get("verb")) {
                case "start" -> {
                    if (task == null) {
                        begin(key, part, attempt);
                        change();
                    }
                }
                case "halt" -> halt(task, ((Number) order.get("leewayS")).doubleValue());
                case "forget" -> {
                    if (task != null && task.stage.equals("ended")) {
                        tasks.remove(key);
                        recorder.write(name, "forgets task " + part + " try " + attempt);
                        change();
                    }
                }
                default -> recorder.write(name, "unknown verb " + order);
            }
        }
    }

    private void begin(String key, String part, long attempt) {
        Map<String, Object> job = site.jobs().get(part.substring(0, part.indexOf('/')));
        Task task = new Task(part, attempt, "fetching");
        tasks.put(key, task);
        if (job == null) {
            end(task, "unknown");
        } else if (tasks.values().stream()
                .anyMatch(other -> other != task && other.part.equals(part) && !other.stage.equals("ended"))) {
            end(task, "in_use");
        } else if (cpus() > 4 + 1e-9) {
            end(task, "no_room");
        } else {
            recorder.write(name, "accepts the start of task " + part + " try " + attempt);
            String image = (String) job.get("bundle");
            double fetchS = images.contains(image) ? 0 : ((Number) job.get("pullGb")).doubleValue();
            Http.daemon(name + "-task", () -> run(task, image, fetchS));
        }
    }

    private double cpus() {
        double sum = 0;
        for (Task task : tasks.values()) {
            if (!task.stage.equals("ended")) {
                Map<String, Object> job = site.jobs().get(task.part.substring(0, task.part.indexOf('/')));
                sum += ((Number) job.get("cpus")).doubleValue();
            }
        }
        return sum;
    }

    private void run(Task task, String image, double fetchS) {
        Http.sleep((long) (fetchS * 1000));
        Map.Entry<Double, String> end;
        synchronized (this) {
            if (!task.stage.equals("fetching") || tasks.get(task.part + "#" + task.attempt) != task) {
                return;
            }
            images.add(image);
            task.stage = "running";
            recorder.taskOn(task.part, task.attempt, name);
            change();
            end = ending.of(task.part, task.attempt);
        }
        Http.sleep((long) (end.getKey() * 1000));
        synchronized (this) {
            if (task.stage.equals("running") && tasks.get(task.part + "#" + task.attempt) == task) {
                end(task, end.getValue());
            }
        }
    }

    /** Tasks of the cases save no checkpoints, so every stop ends the task at once. */
    private void halt(Task task, double leewayS) {
        if (task != null && !task.stage.equals("ended")) {
            end(task, "stopped");
        }
    }

    private void end(Task task, String cause) {
        task.stage = "ended";
        task.cause = cause;
        recorder.taskOff(task.part, task.attempt, name, cause);
        change();
    }
}
