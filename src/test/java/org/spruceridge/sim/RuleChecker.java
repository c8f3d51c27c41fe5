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
    /**
     * A worker drops a response that arrives more than this time after the worker sent its heartbeat. If a cancelled
     * task starts more than this time after its cancellation, the start command was sent too late or was delayed.
     */
    private static final double MAX_IN_FLIGHT_S = 4;

    /** Once all faults have been cleared, a job must not wait longer than this while there is capacity for it. */
    private static final double MAX_WAIT_S = 90;

    private final LongSupplier clock;
    private final double teamCpus;
    private final double cancellationDeadlineS;
    private final Map<String, ObjectNode> submittedJobs = new HashMap<>();
    private final Set<String> acceptedJobIds = new HashSet<>();
    private final Map<String, Long> cancelledAt = new HashMap<>();
    private final Set<String> cancelRequested = new HashSet<>();
    private final Map<String, String> terminalStages = new HashMap<>();
    private final Map<String, Placement> placements = new TreeMap<>();
    private final Set<String> completedTaskIds = new HashSet<>();
    /** The number of running tasks, by job id for a whole job and by {@link #zoneKey} for a job in one zone. */
    private final Multiset<String> runningTaskCounts = HashMultiset.create();

    private final Multiset<String> completedTaskCounts = HashMultiset.create();

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
        boolean isKnown = status == 200 || status == 201;
        if (isKnown && !submittedJobs.containsKey(id)) {
            throwViolation("invented", id + " was not submitted by any user");
        }
        if (acceptedJobIds.contains(id) && (status == 404 || status == 400 || status == 422)) {
            throwViolation("forgotten", id + " was accepted, but a response has status " + status);
        }
        if (!isKnown) {
            return;
        }
        acceptedJobIds.add(id);
        String terminalStage = terminalStages.get(id);
        if (terminalStage != null && !terminalStage.equals(stage)) {
            throwViolation("went_back", id + " had the terminal stage " + terminalStage + " and now has " + stage);
        }
        if (stage.equals("cancelled") && !cancelRequested.contains(id)) {
            throwViolation("went_back", id + " is cancelled although no user requested it");
        }
        if (stage.equals("done") && isService(submittedJobs.get(id))) {
            throwViolation("not_done", id + " is a service, which cannot be done");
        }
        if (stage.equals("done")
                && completedTaskCount(id) < submittedJobs.get(id).path("parts").asInt()) {
            throwViolation("not_done", id + " is done before all its tasks are complete");
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
            throwViolation("wrong_place", taskId + " on a machine that its job forbids, in zone " + zone);
        }
        placements.put(taskId, new Placement(machine, zone));
        runningTaskCounts.add(id);
        runningTaskCounts.add(zoneKey(id, zone));
        checkZoneConstraints(taskId, zone);
        double cpus = runningCpus();
        if (cpus > teamCpus) {
            throwViolation("quota", cpus + " CPUs in use, but the quota is " + teamCpus + " CPUs");
        }
    }

    /** A job can require that all its tasks run in one zone, or that at most half of them, rounded up, do so. */
    private void checkZoneConstraints(String taskId, String zone) {
        String id = jobIdOf(taskId);
        ObjectNode job = submittedJobs.get(id);
        long runningInZone = runningTaskCounts.count(zoneKey(id, zone));
        if (job.path("samePlace").asBoolean() && runningInZone < runningTaskCount(id)) {
            throwViolation("wrong_place", taskId + " in " + zone + ", but other tasks of its job run in another zone");
        }
        int tasks = job.path("parts").asInt();
        if (job.path("scatter").asBoolean() && runningInZone > (tasks + 1) / 2) {
            throwViolation("wrong_place", taskId + " in " + zone + ", where more than half of its job's tasks run");
        }
    }

    void recordStop(String taskId, String machine) {
        Placement placement = placements.get(taskId);
        if (placement != null && placement.machine.equals(machine)) {
            placements.remove(taskId);
            runningTaskCounts.remove(jobIdOf(taskId));
            runningTaskCounts.remove(zoneKey(jobIdOf(taskId), placement.zone));
        }
    }

    private static String zoneKey(String jobId, String zone) {
        return jobId + " " + zone;
    }

    void recordCompletion(String taskId) {
        if (completedTaskIds.add(taskId)) {
            completedTaskCounts.add(jobIdOf(taskId));
        }
    }

    /** Called periodically: cancelled tasks must stop before the deadline, even on machines that cannot be reached. */
    void checkDeadlines() {
        for (var placement : placements.entrySet()) {
            if (secondsSinceCancellation(jobIdOf(placement.getKey())) > cancellationDeadlineS) {
                throwViolation("ran_cancelled", placement.getKey() + " still runs on " + placement.getValue().machine);
            }
        }
    }

    /**
     * Called at the end of a scenario. Each accepted job must be cancelled or complete, or a service with all replicas
     * running. No task may still run, except replicas of services that were not cancelled.
     */
    void checkAllFinished() {
        for (String id : unfinishedJobIds()) {
            throwViolation("unfinished", id + " has " + completedTaskCount(id) + " tasks complete");
        }
        List<String> leftoverTasks = leftoverTaskIds();
        if (!leftoverTasks.isEmpty()) {
            throwViolation("still running", leftoverTasks.toString());
        }
    }

    /** The ids of the running tasks, except replicas of services that were not cancelled. */
    private List<String> leftoverTaskIds() {
        return placements.keySet().stream()
                .filter(taskId ->
                        cancelledAt.containsKey(jobIdOf(taskId)) || !isService(submittedJobs.get(jobIdOf(taskId))))
                .toList();
    }

    /**
     * The ids of the accepted jobs that were not cancelled and have an incomplete task. A service is included if one of
     * its replicas does not run.
     */
    private List<String> unfinishedJobIds() {
        return acceptedJobIds.stream()
                .filter(id -> !cancelledAt.containsKey(id))
                .filter(id -> (isService(submittedJobs.get(id)) ? runningTaskCount(id) : completedTaskCount(id))
                        < submittedJobs.get(id).path("parts").asInt())
                .toList();
    }

    /** The ids of the accepted jobs that were not cancelled and have a task that is neither complete nor running. */
    List<String> waitingJobIds() {
        return unfinishedJobIds().stream()
                .filter(id -> completedTaskCount(id) + runningTaskCount(id)
                        < submittedJobs.get(id).path("parts").asInt())
                .toList();
    }

    /** True if the team's quota allows one more task of the job. */
    boolean quotaAllows(String id) {
        return runningCpus() + submittedJobs.get(id).path("cpus").asDouble() <= teamCpus;
    }

    /** The number of CPUs that the tasks on a machine use. */
    double cpusUsedOn(String machine) {
        return placements.entrySet().stream()
                .filter(e -> e.getValue().machine.equals(machine))
                .mapToDouble(
                        e -> submittedJobs.get(jobIdOf(e.getKey())).path("cpus").asDouble())
                .sum();
    }

    /**
     * Called periodically for each accepted job, once all faults have been cleared: a job with a waiting task and
     * capacity for it must not wait longer than {@link #MAX_WAIT_S}.
     */
    void checkWaitingTime(String id, boolean hasCapacity) {
        if (!hasCapacity) {
            waitingSince.remove(id);
            return;
        }
        long since = waitingSince.computeIfAbsent(id, i -> clock.getAsLong());
        if (Durations.seconds(clock.getAsLong() - since) > MAX_WAIT_S) {
            throwViolation("waits despite free capacity", id + " has waited for more than " + MAX_WAIT_S + " s");
        }
    }

    /** The number of CPUs that all running tasks use. */
    private double runningCpus() {
        return runningTaskCounts.entrySet().stream()
                .filter(e -> submittedJobs.containsKey(e.getElement()))
                .mapToDouble(e -> e.getCount()
                        * submittedJobs.get(e.getElement()).path("cpus").asDouble())
                .sum();
    }

    private long runningTaskCount(String id) {
        return runningTaskCounts.count(id);
    }

    boolean areAllFinished() {
        return leftoverTaskIds().isEmpty() && unfinishedJobIds().isEmpty();
    }

    private long completedTaskCount(String id) {
        return completedTaskCounts.count(id);
    }

    Set<String> acceptedJobIds() {
        return acceptedJobIds;
    }

    ObjectNode job(String id) {
        return submittedJobs.get(id);
    }

    Set<String> completedTaskIds() {
        return completedTaskIds;
    }

    /** The machine of each running task, by task id. */
    Map<String, String> machinesByRunningTask() {
        Map<String, String> out = new TreeMap<>();
        placements.forEach((taskId, place) -> out.put(taskId, place.machine));
        return out;
    }
}
