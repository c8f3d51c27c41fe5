package org.spruceridge.sim;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.HashMultiset;
import com.google.common.collect.Multiset;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongSupplier;
import org.spruceridge.net.Durations;

/**
 * The protocol's rules over one cluster. It records on its own what was submitted, what runs where and what users were
 * answered, and fails the scenario as soon as a rule is violated.
 */
final class RuleChecker {
    /** Workers drop answers after this time: a later start was sent too late, or delayed. */
    private static final double IN_FLIGHT_S = 4;

    /** The longest time that a job may wait beside free capacity, once all faults have ended. */
    private static final double MAX_WAIT_S = 90;

    private final LongSupplier clock;
    private final double teamCpus;
    private final double cancelS;
    private final Map<String, ObjectNode> submitted = new HashMap<>();
    private final Set<String> accepted = new HashSet<>();
    private final Map<String, Long> cancelled = new HashMap<>();
    private final Set<String> cancelRequested = new HashSet<>();
    private final Map<String, String> terminalStages = new HashMap<>();
    private final Map<String, Place> placements = new TreeMap<>();
    private final Set<String> completed = new HashSet<>();
    /** How many tasks of each job are on machines, and in each zone as "job zone". */
    private final Multiset<String> runningCounts = HashMultiset.create();

    private final Multiset<String> completedCounts = HashMultiset.create();

    private final Map<String, Long> waitingSince = new HashMap<>();

    private record Place(String machine, String zone) {}

    RuleChecker(LongSupplier clock, double teamCpus, double cancelS) {
        this.clock = clock;
        this.teamCpus = teamCpus;
        this.cancelS = cancelS;
    }

    private static void violation(String rule, String what) {
        throw new AssertionError(rule + ": " + what);
    }

    static boolean isService(ObjectNode job) {
        return job.path("shape").asText().equals("standing");
    }

    private static String jobOf(String taskId) {
        return taskId.substring(0, taskId.indexOf('/'));
    }

    void recordSubmission(ObjectNode job) {
        submitted.putIfAbsent(job.path("nameId").asText(), job);
    }

    void recordCancelRequest(String id) {
        cancelRequested.add(id);
    }

    /** A user was answered about a job; {@code stage} is that of a 200 or 201. */
    void recordAnswer(String id, int status, String stage) {
        boolean known = status == 200 || status == 201;
        if (known && !submitted.containsKey(id)) {
            violation("invented", id);
        }
        if (accepted.contains(id) && (status == 404 || status == 400 || status == 422)) {
            violation("forgotten", id + " got " + status);
        }
        if (!known) {
            return;
        }
        accepted.add(id);
        String end = terminalStages.get(id);
        if (end != null && !end.equals(stage)) {
            violation("went_back", id + " was " + end + " and is " + stage);
        }
        if (stage.equals("cancelled") && !cancelRequested.contains(id)) {
            violation("went_back", id + " is cancelled, without a request");
        }
        if (stage.equals("done") && isService(submitted.get(id))) {
            violation("not_done", id + " is a service");
        }
        if (stage.equals("done")
                && tasksCompleted(id) < submitted.get(id).path("parts").asInt()) {
            violation("not_done", id);
        }
        if (stage.equals("done") || stage.equals("cancelled")) {
            terminalStages.put(id, stage);
        }
        if (stage.equals("cancelled")) {
            cancelled.putIfAbsent(id, clock.getAsLong());
        }
    }

    private double sinceCancelledS(String id) {
        Long at = cancelled.get(id);
        return at == null ? 0 : Durations.seconds(clock.getAsLong() - at);
    }

    void recordStart(String taskId, String machine, String zone, boolean spot) {
        String id = jobOf(taskId);
        ObjectNode job = submitted.get(id);
        if (placements.containsKey(taskId)) {
            violation("ran_twice", taskId + " on " + placements.get(taskId).machine + " and " + machine);
        }
        if (sinceCancelledS(id) > IN_FLIGHT_S) {
            violation("ran_cancelled", taskId + " started " + sinceCancelledS(id) + " s after its cancellation");
        }
        if (spot && !job.path("windfall").asBoolean()
                || job.hasNonNull("grove") && !job.path("grove").asText().equals(zone)) {
            violation("wrong_place", taskId + " in " + zone);
        }
        placements.put(taskId, new Place(machine, zone));
        runningCounts.add(id);
        runningCounts.add(zoneKey(id, zone));
        checkSpread(taskId, zone);
        double cpus = runningCpus();
        if (cpus > teamCpus) {
            violation("quota", cpus + " CPUs");
        }
    }

    /** The tasks of one job may be required to share a zone, or to have at most half of them in one. */
    private void checkSpread(String taskId, String zone) {
        String id = jobOf(taskId);
        ObjectNode job = submitted.get(id);
        long runningInZone = runningCounts.count(zoneKey(id, zone));
        if (job.path("samePlace").asBoolean() && runningInZone < runningTasks(id)) {
            violation("wrong_place", taskId + " in " + zone + ", the others elsewhere");
        }
        int tasks = job.path("parts").asInt();
        if (job.path("scatter").asBoolean() && runningInZone > (tasks + 1) / 2) {
            violation("wrong_place", taskId + " in " + zone + " with too many");
        }
    }

    void recordStop(String taskId, String machine) {
        Place place = placements.get(taskId);
        if (place != null && place.machine.equals(machine)) {
            placements.remove(taskId);
            runningCounts.remove(jobOf(taskId));
            runningCounts.remove(zoneKey(jobOf(taskId), place.zone));
        }
    }

    private static String zoneKey(String job, String zone) {
        return job + " " + zone;
    }

    void recordCompletion(String taskId) {
        if (completed.add(taskId)) {
            completedCounts.add(jobOf(taskId));
        }
    }

    /** To be called periodically: cancelled tasks must stop in time, whether their machines are reachable or not. */
    void checkDeadlines() {
        for (var e : placements.entrySet()) {
            if (sinceCancelledS(jobOf(e.getKey())) > cancelS) {
                violation("ran_cancelled", e.getKey() + " still on " + e.getValue().machine);
            }
        }
    }

    /** To be called at the end: each accepted job was cancelled or is complete, and no task is left running. */
    void checkAllFinished() {
        for (String id : unfinished()) {
            violation("left waiting", id + " has " + tasksCompleted(id) + " tasks complete");
        }
        List<String> left = leftRunning();
        if (!left.isEmpty()) {
            violation("left running", left.toString());
        }
    }

    /** Tasks on machines at the end, except those of services that were not cancelled. */
    private List<String> leftRunning() {
        return placements.keySet().stream()
                .filter(taskId -> cancelled.containsKey(jobOf(taskId)) || !isService(submitted.get(jobOf(taskId))))
                .toList();
    }

    /** Accepted jobs, not cancelled, of which a task is not complete; of services, of which a replica does not run. */
    private List<String> unfinished() {
        return accepted.stream()
                .filter(id -> !cancelled.containsKey(id))
                .filter(id -> (isService(submitted.get(id)) ? runningTasks(id) : tasksCompleted(id))
                        < submitted.get(id).path("parts").asInt())
                .toList();
    }

    /** Accepted jobs, not cancelled, of which a task is neither complete nor on a machine. */
    List<String> waitingJobs() {
        return unfinished().stream()
                .filter(id -> tasksCompleted(id) + runningTasks(id)
                        < submitted.get(id).path("parts").asInt())
                .toList();
    }

    /** True if the team's quota allows one more task of the job. */
    boolean limitAllows(String id) {
        return runningCpus() + submitted.get(id).path("cpus").asDouble() <= teamCpus;
    }

    /** The CPUs that tasks take on a machine. */
    double cpusOn(String machine) {
        return placements.entrySet().stream()
                .filter(e -> e.getValue().machine.equals(machine))
                .mapToDouble(e -> submitted.get(jobOf(e.getKey())).path("cpus").asDouble())
                .sum();
    }

    /** To be called periodically for each waiting job, once all faults have ended. */
    void checkWaiting(String id, boolean hasCapacity) {
        if (!hasCapacity) {
            waitingSince.remove(id);
            return;
        }
        long since = waitingSince.computeIfAbsent(id, i -> clock.getAsLong());
        if (Durations.seconds(clock.getAsLong() - since) > MAX_WAIT_S) {
            violation("waits beside room", id);
        }
    }

    /** The CPUs that all tasks on machines take. */
    private double runningCpus() {
        return runningCounts.entrySet().stream()
                .filter(e -> submitted.containsKey(e.getElement()))
                .mapToDouble(e -> e.getCount()
                        * submitted.get(e.getElement()).path("cpus").asDouble())
                .sum();
    }

    private long runningTasks(String id) {
        return runningCounts.count(id);
    }

    boolean areAllFinished() {
        return leftRunning().isEmpty() && unfinished().isEmpty();
    }

    private long tasksCompleted(String id) {
        return completedCounts.count(id);
    }

    Set<String> accepted() {
        return accepted;
    }

    ObjectNode job(String id) {
        return submitted.get(id);
    }

    Set<String> completed() {
        return completed;
    }

    /** Tasks on machines now, with their machine. */
    Map<String, String> running() {
        Map<String, String> out = new TreeMap<>();
        placements.forEach((taskId, place) -> out.put(taskId, place.machine));
        return out;
    }
}
