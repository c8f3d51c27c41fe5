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
 * Checks the protocol's rules for one cluster. It keeps its own record of submitted jobs, placed tasks and responses to
 * users, and fails the scenario as soon as a rule is violated.
 */
final class RuleChecker {
    /** Workers drop responses after this time, so a later start of a cancelled task was sent too late or delayed. */
    private static final double MAX_IN_FLIGHT_S = 4;

    /** The longest time for which a job may wait despite free capacity, once all faults have been cleared. */
    private static final double MAX_WAIT_S = 90;

    private final LongSupplier clock;
    private final double teamCpus;
    private final double cancellationDeadlineS;
    private final Map<String, ObjectNode> submittedJobs = new HashMap<>();
    private final Set<String> acceptedJobs = new HashSet<>();
    private final Map<String, Long> cancelledAt = new HashMap<>();
    private final Set<String> cancelRequested = new HashSet<>();
    private final Map<String, String> terminalStages = new HashMap<>();
    private final Map<String, Placement> placements = new TreeMap<>();
    private final Set<String> completedTasks = new HashSet<>();
    /** The number of running tasks of each job, and of each job in each zone under its {@link #zoneKey}. */
    private final Multiset<String> runningCounts = HashMultiset.create();

    private final Multiset<String> completedCounts = HashMultiset.create();

    private final Map<String, Long> waitingSince = new HashMap<>();

    private record Placement(String machine, String zone) {}

    RuleChecker(LongSupplier clock, double teamCpus, double cancellationDeadlineS) {
        this.clock = clock;
        this.teamCpus = teamCpus;
        this.cancellationDeadlineS = cancellationDeadlineS;
    }

    private static void throwViolation(String rule, String detail) {
        throw new AssertionError(rule + ": " + detail);
    }

    static boolean isService(ObjectNode job) {
        return job.path("shape").asText().equals("standing");
    }

    private static String jobIdOf(String taskId) {
        return taskId.substring(0, taskId.indexOf('/'));
    }

    void recordSubmission(ObjectNode job) {
        submittedJobs.putIfAbsent(job.path("nameId").asText(), job);
    }

    void recordCancelRequest(String id) {
        cancelRequested.add(id);
    }

    /** Records a response to a user about a job; {@code stage} is empty unless the status is 200 or 201. */
    void recordResponse(String id, int status, String stage) {
        boolean known = status == 200 || status == 201;
        if (known && !submittedJobs.containsKey(id)) {
            throwViolation("invented", id);
        }
        if (acceptedJobs.contains(id) && (status == 404 || status == 400 || status == 422)) {
            throwViolation("forgotten", id + " got " + status);
        }
        if (!known) {
            return;
        }
        acceptedJobs.add(id);
        String terminalStage = terminalStages.get(id);
        if (terminalStage != null && !terminalStage.equals(stage)) {
            throwViolation("went_back", id + " was " + terminalStage + " and is " + stage);
        }
        if (stage.equals("cancelled") && !cancelRequested.contains(id)) {
            throwViolation("went_back", id + " is cancelled without a request");
        }
        if (stage.equals("done") && isService(submittedJobs.get(id))) {
            throwViolation("not_done", id + " is a service");
        }
        if (stage.equals("done")
                && completedTaskCount(id) < submittedJobs.get(id).path("parts").asInt()) {
            throwViolation("not_done", id);
        }
        if (stage.equals("done") || stage.equals("cancelled")) {
            terminalStages.put(id, stage);
        }
        if (stage.equals("cancelled")) {
            cancelledAt.putIfAbsent(id, clock.getAsLong());
        }
    }

    private double secondsSinceCancellation(String id) {
        Long cancellationTime = cancelledAt.get(id);
        return cancellationTime == null ? 0 : Durations.seconds(clock.getAsLong() - cancellationTime);
    }

    void recordStart(String taskId, String machine, String zone, boolean spot) {
        String id = jobIdOf(taskId);
        ObjectNode job = submittedJobs.get(id);
        if (placements.containsKey(taskId)) {
            throwViolation("ran_twice", taskId + " on " + placements.get(taskId).machine + " and " + machine);
        }
        if (secondsSinceCancellation(id) > MAX_IN_FLIGHT_S) {
            throwViolation(
                    "ran_cancelled", taskId + " started " + secondsSinceCancellation(id) + " s after its cancellation");
        }
        if ((spot && !job.path("windfall").asBoolean())
                || (job.hasNonNull("grove") && !job.path("grove").asText().equals(zone))) {
            throwViolation("wrong_place", taskId + " in " + zone);
        }
        placements.put(taskId, new Placement(machine, zone));
        runningCounts.add(id);
        runningCounts.add(zoneKey(id, zone));
        checkSpread(taskId, zone);
        double cpus = runningCpus();
        if (cpus > teamCpus) {
            throwViolation("quota", cpus + " CPUs");
        }
    }

    /** A job may require that its tasks share a zone, or that at most half of them, rounded up, run in one zone. */
    private void checkSpread(String taskId, String zone) {
        String id = jobIdOf(taskId);
        ObjectNode job = submittedJobs.get(id);
        long runningInZone = runningCounts.count(zoneKey(id, zone));
        if (job.path("samePlace").asBoolean() && runningInZone < runningTaskCount(id)) {
            throwViolation("wrong_place", taskId + " in " + zone + ", other tasks of its job in another zone");
        }
        int tasks = job.path("parts").asInt();
        if (job.path("scatter").asBoolean() && runningInZone > (tasks + 1) / 2) {
            throwViolation("wrong_place", taskId + " in " + zone + ", which has more than half of its job's tasks");
        }
    }

    void recordStop(String taskId, String machine) {
        Placement placement = placements.get(taskId);
        if (placement != null && placement.machine.equals(machine)) {
            placements.remove(taskId);
            runningCounts.remove(jobIdOf(taskId));
            runningCounts.remove(zoneKey(jobIdOf(taskId), placement.zone));
        }
    }

    private static String zoneKey(String job, String zone) {
        return job + " " + zone;
    }

    void recordCompletion(String taskId) {
        if (completedTasks.add(taskId)) {
            completedCounts.add(jobIdOf(taskId));
        }
    }

    /** Called periodically: cancelled tasks must stop in time, whether or not their machines are reachable. */
    void checkDeadlines() {
        for (var placement : placements.entrySet()) {
            if (secondsSinceCancellation(jobIdOf(placement.getKey())) > cancellationDeadlineS) {
                throwViolation("ran_cancelled", placement.getKey() + " still on " + placement.getValue().machine);
            }
        }
    }

    /** Called at the end of a scenario: each accepted job must be cancelled or complete, and no task may still run. */
    void checkAllFinished() {
        for (String id : unfinishedJobs()) {
            throwViolation("unfinished", id + " has " + completedTaskCount(id) + " tasks complete");
        }
        List<String> leftoverTasks = leftoverTasks();
        if (!leftoverTasks.isEmpty()) {
            throwViolation("still running", leftoverTasks.toString());
        }
    }

    /** The running tasks, except those of services that were not cancelled. */
    private List<String> leftoverTasks() {
        return placements.keySet().stream()
                .filter(taskId ->
                        cancelledAt.containsKey(jobIdOf(taskId)) || !isService(submittedJobs.get(jobIdOf(taskId))))
                .toList();
    }

    /** Accepted jobs that were not cancelled and have an incomplete task or, for services, a replica that does not run. */
    private List<String> unfinishedJobs() {
        return acceptedJobs.stream()
                .filter(id -> !cancelledAt.containsKey(id))
                .filter(id -> (isService(submittedJobs.get(id)) ? runningTaskCount(id) : completedTaskCount(id))
                        < submittedJobs.get(id).path("parts").asInt())
                .toList();
    }

    /** Accepted jobs that were not cancelled and have a task that is neither complete nor running. */
    List<String> waitingJobs() {
        return unfinishedJobs().stream()
                .filter(id -> completedTaskCount(id) + runningTaskCount(id)
                        < submittedJobs.get(id).path("parts").asInt())
                .toList();
    }

    /** True if the team's quota allows one more task of the job. */
    boolean quotaAllows(String id) {
        return runningCpus() + submittedJobs.get(id).path("cpus").asDouble() <= teamCpus;
    }

    /** The number of CPUs that the tasks on a machine use. */
    double cpusOn(String machine) {
        return placements.entrySet().stream()
                .filter(e -> e.getValue().machine.equals(machine))
                .mapToDouble(
                        e -> submittedJobs.get(jobIdOf(e.getKey())).path("cpus").asDouble())
                .sum();
    }

    /**
     * Called periodically for each accepted job, once all faults have been cleared: a job with a waiting task and capacity
     * for it must not wait longer than {@link #MAX_WAIT_S}.
     */
    void checkWaiting(String id, boolean hasCapacity) {
        if (!hasCapacity) {
            waitingSince.remove(id);
            return;
        }
        long since = waitingSince.computeIfAbsent(id, i -> clock.getAsLong());
        if (Durations.seconds(clock.getAsLong() - since) > MAX_WAIT_S) {
            throwViolation("waits despite free capacity", id);
        }
    }

    /** The number of CPUs that all running tasks use. */
    private double runningCpus() {
        return runningCounts.entrySet().stream()
                .filter(e -> submittedJobs.containsKey(e.getElement()))
                .mapToDouble(e -> e.getCount()
                        * submittedJobs.get(e.getElement()).path("cpus").asDouble())
                .sum();
    }

    private long runningTaskCount(String id) {
        return runningCounts.count(id);
    }

    boolean areAllFinished() {
        return leftoverTasks().isEmpty() && unfinishedJobs().isEmpty();
    }

    private long completedTaskCount(String id) {
        return completedCounts.count(id);
    }

    Set<String> acceptedJobs() {
        return acceptedJobs;
    }

    ObjectNode job(String id) {
        return submittedJobs.get(id);
    }

    Set<String> completedTasks() {
        return completedTasks;
    }

    /** The running tasks, with the machine of each. */
    Map<String, String> runningTasks() {
        Map<String, String> out = new TreeMap<>();
        placements.forEach((taskId, place) -> out.put(taskId, place.machine));
        return out;
    }
}
