import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** The protocol's rules on tasks, checked where tasks come onto machines and leave them. */
final class Rules {
    /** A machine as the rules see it. */
    record Place(String host, String build, String zone, boolean spot) {}

    private record Running(Place place, long attempt) {}

    private final Record record;
    private final Map<String, Map<String, Object>> jobs = new HashMap<>();
    private final Map<String, double[]> limits = new HashMap<>();
    private final Map<String, Map<String, Running>> onMachines = new HashMap<>();
    private final Map<String, Set<Integer>> done = new HashMap<>();
    private final Map<String, Double> cancelledAt = new HashMap<>();
    private final Map<String, Integer> refusals = new HashMap<>();
    private final Map<String, Integer> starts = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final double cancelS;

    Rules(Record record, Map<String, Object> facts) {
        this.record = record;
        this.cancelS = Json.dbl(Json.map(facts.get("workers")).get("cancel_s"));
        for (Object item : Json.list(facts.get("teams"))) {
            Map<String, Object> team = Json.map(item);
            limits.put((String) team.get("name"), new double[] {
                Json.dbl(team.get("cpus_max")), Json.dbl(team.get("gpus_max"))
            });
        }
    }

    synchronized void submitted(Map<String, Object> job) {
        jobs.put((String) job.get("nameId"), job);
    }

    synchronized Map<String, Object> job(String id) {
        return jobs.get(id);
    }

    /** A user was told that the job is cancelled. */
    synchronized void cancelled(String job) {
        cancelledAt.putIfAbsent(job, record.seconds());
    }

    synchronized void violation(String rule, String detail) {
        violations.add(rule + " " + detail);
        record.line("RULE BROKEN " + rule + " " + detail);
    }

    synchronized List<String> violations() {
        return List.copyOf(violations);
    }

    /** A task has its image: it is on the machine from now on. */
    synchronized void started(String part, long attempt, Place place) {
        String id = jobOf(part);
        starts.merge(id, 1, Integer::sum);
        record.line("start " + part + " try " + attempt + " on " + place.host + " " + place.zone);
        Map<String, Running> running = onMachines.computeIfAbsent(part, p -> new HashMap<>());
        if (!running.isEmpty()) {
            violation("ran_twice", part + " starts on " + place.host + " while on " + running.keySet());
        }
        running.put(place.host, new Running(place, attempt));
        Map<String, Object> job = jobs.get(id);
        if (job == null) {
            violation("invented", part + " started without a submission");
            return;
        }
        checkPlace(part, job, place);
        checkQuota(part, (String) job.get("crew"));
        checkCancelled(part, place);
    }

    synchronized void ended(String part, long attempt, Place place, String how) {
        Map<String, Running> running = onMachines.getOrDefault(part, new HashMap<>());
        if (running.remove(place.host) != null) {
            record.line("end " + part + " try " + attempt + " on " + place.host + " " + how);
        }
        if (how.equals("done")) {
            done.computeIfAbsent(jobOf(part), id -> new HashSet<>()).add(indexOf(part));
        }
    }

    synchronized boolean isDone(String part) {
        return done.getOrDefault(jobOf(part), Set.of()).contains(indexOf(part));
    }

    synchronized int doneCount(String job) {
        return done.getOrDefault(job, Set.of()).size();
    }

    /** A worker refused to start a task of the job. */
    synchronized void refused(String part, Place place, String cause) {
        record.line("refused " + part + " on " + place.host + " " + cause);
        refusals.merge(jobOf(part), 1, Integer::sum);
    }

    synchronized int refusedCount(String job) {
        return refusals.getOrDefault(job, 0);
    }

    synchronized int startCount(String job) {
        return starts.getOrDefault(job, 0);
    }

    /** The number of tasks of the job that are on a machine now. */
    synchronized int onMachineCount(String job) {
        int count = 0;
        for (Map.Entry<String, Map<String, Running>> entry : onMachines.entrySet()) {
            count += jobOf(entry.getKey()).equals(job) ? entry.getValue().size() : 0;
        }
        return count;
    }

    /** The number of tasks that are on the machine now. */
    synchronized int tasksOn(String host) {
        return (int) onMachines.values().stream().filter(running -> running.containsKey(host)).count();
    }

    /** Called now and then: no task of a cancelled job may be on a machine after {@code cancel_s}. */
    synchronized void checkCancelledTasks() {
        onMachines.forEach((part, running) ->
                running.values().forEach(task -> checkCancelled(part, task.place)));
    }

    private void checkCancelled(String part, Place place) {
        Double at = cancelledAt.get(jobOf(part));
        if (at != null && record.seconds() - at > cancelS) {
            violation("ran_cancelled", part + " is on " + place.host + " " + (record.seconds() - at) + " s after");
        }
    }

    private void checkPlace(String part, Map<String, Object> job, Place place) {
        Object builds = job.get("builds");
        boolean allowed = (builds == null || Json.list(builds).contains(place.build))
                && (job.get("grove") == null || job.get("grove").equals(place.zone))
                && (Boolean.TRUE.equals(job.get("windfall")) || !place.spot);
        Map<String, Integer> byZone = new HashMap<>();
        onMachines.forEach((other, running) -> {
            if (jobOf(other).equals(job.get("nameId"))) {
                running.values().forEach(task -> byZone.merge(task.place.zone, 1, Integer::sum));
            }
        });
        long parts = Json.num(job.get("parts"));
        boolean zonesAllowed = (!Boolean.TRUE.equals(job.get("samePlace")) || byZone.size() <= 1)
                && (!Boolean.TRUE.equals(job.get("scatter")) || byZone.get(place.zone) <= (parts + 1) / 2);
        if (!allowed || !zonesAllowed) {
            violation("wrong_place", part + " on " + place + " tasks by zone " + byZone);
        }
    }

    private void checkQuota(String part, String team) {
        double cpus = 0;
        double gpus = 0;
        for (Map.Entry<String, Map<String, Running>> entry : onMachines.entrySet()) {
            Map<String, Object> job = jobs.get(jobOf(entry.getKey()));
            if (job != null && team.equals(job.get("crew"))) {
                cpus += Json.dbl(job.get("cpus")) * entry.getValue().size();
                gpus += Json.dbl(job.get("accelerators")) * entry.getValue().size();
            }
        }
        double[] limit = limits.get(team);
        if (limit[0] > 0 && cpus > limit[0] + 0.001 || limit[1] > 0 && gpus > limit[1] + 0.001) {
            violation("quota", part + ": team " + team + " uses " + cpus + " CPUs, " + gpus + " GPUs");
        }
    }

    static String jobOf(String part) {
        return part.substring(0, part.lastIndexOf('/'));
    }

    static int indexOf(String part) {
        return Integer.parseInt(part.substring(part.lastIndexOf('/') + 1));
    }
}
