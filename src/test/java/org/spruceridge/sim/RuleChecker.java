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
 * The protocol's rules over one cluster. It keeps its own book of what was submitted, what runs where and what users were
 * told, and fails the scenario at the moment at which a rule breaks.
 */
final class RuleChecker {
    /** Workers drop answers after this time: a start that comes later was sent too late, or lay about. */
    private static final double IN_FLIGHT_S = 4;

    private final LongSupplier clock;
    private final double teamCpus;
    private final double cancelS;
    private final Map<String, ObjectNode> submitted = new HashMap<>();
    private final Set<String> accepted = new HashSet<>();
    private final Map<String, Long> cancelled = new HashMap<>();
    private final Set<String> asked = new HashSet<>();
    private final Map<String, String> ends = new HashMap<>();
    private final Map<String, Place> places = new TreeMap<>();
    private final Set<String> completed = new HashSet<>();
    /** How many tasks of each job are on machines, and in each zone as "job zone". */
    private final Multiset<String> there = HashMultiset.create();

    private final Multiset<String> completedOf = HashMultiset.create();

    /** A job may wait so long beside room that fits it, once troubles are over. */
    private static final double WAIT_S = 90;

    private final Map<String, Long> besideRoom = new HashMap<>();

    private record Place(String machine, String zone) {}

    RuleChecker(LongSupplier clock, double teamCpus, double cancelS) {
        this.clock = clock;
        this.teamCpus = teamCpus;
        this.cancelS = cancelS;
    }

    private static void broken(String rule, String what) {
        throw new AssertionError(rule + ": " + what);
    }

    static boolean isService(ObjectNode job) {
        return job.path("shape").asText().equals("standing");
    }

    private static String jobOf(String part) {
        return part.substring(0, part.indexOf('/'));
    }

    void submits(ObjectNode job) {
        submitted.putIfAbsent(job.path("nameId").asText(), job);
    }

    void asksToCancel(String id) {
        asked.add(id);
    }

    /** A user was answered about a job; {@code stage} is that of a 200 or 201. */
    void answered(String id, int status, String stage) {
        boolean known = status == 200 || status == 201;
        if (known && !submitted.containsKey(id)) {
            broken("invented", id);
        }
        if (accepted.contains(id) && (status == 404 || status == 400 || status == 422)) {
            broken("forgotten", id + " got " + status);
        }
        if (!known) {
            return;
        }
        accepted.add(id);
        String end = ends.get(id);
        if (end != null && !end.equals(stage)) {
            broken("went_back", id + " was " + end + " and is " + stage);
        }
        if (stage.equals("cancelled") && !asked.contains(id)) {
            broken("went_back", id + " is cancelled, which nobody asked for");
        }
        if (stage.equals("done") && isService(submitted.get(id))) {
            broken("not_done", id + " is a service");
        }
        if (stage.equals("done")
                && tasksCompleted(id) < submitted.get(id).path("parts").asInt()) {
            broken("not_done", id);
        }
        if (stage.equals("done") || stage.equals("cancelled")) {
            ends.put(id, stage);
        }
        if (stage.equals("cancelled")) {
            cancelled.putIfAbsent(id, clock.getAsLong());
        }
    }

    private double sinceCancelledS(String id) {
        Long at = cancelled.get(id);
        return at == null ? 0 : Durations.seconds(clock.getAsLong() - at);
    }

    void starts(String part, String machine, String zone, boolean spot) {
        String id = jobOf(part);
        ObjectNode job = submitted.get(id);
        if (places.containsKey(part)) {
            broken("ran_twice", part + " on " + places.get(part).machine + " and " + machine);
        }
        if (sinceCancelledS(id) > IN_FLIGHT_S) {
            broken("ran_cancelled", part + " started " + sinceCancelledS(id) + " s after its cancellation");
        }
        if (spot && !job.path("windfall").asBoolean()
                || job.hasNonNull("grove") && !job.path("grove").asText().equals(zone)) {
            broken("wrong_place", part + " in " + zone);
        }
        places.put(part, new Place(machine, zone));
        there.add(id);
        there.add(inZone(id, zone));
        long ofJob = tasksThere(id);
        long here = there.count(inZone(id, zone));
        if (job.path("samePlace").asBoolean() && here < ofJob) {
            broken("wrong_place", part + " in " + zone + ", the others elsewhere");
        }
        int parts = job.path("parts").asInt();
        if (job.path("scatter").asBoolean() && here > (parts + 1) / 2) {
            broken("wrong_place", part + " in " + zone + " with too many");
        }
        double cpus = cpusThere();
        if (cpus > teamCpus) {
            broken("quota", cpus + " CPUs");
        }
    }

    void leaves(String part, String machine) {
        Place place = places.get(part);
        if (place != null && place.machine.equals(machine)) {
            places.remove(part);
            there.remove(jobOf(part));
            there.remove(inZone(jobOf(part), place.zone));
        }
    }

    private static String inZone(String job, String zone) {
        return job + " " + zone;
    }

    void completes(String part) {
        if (completed.add(part)) {
            completedOf.add(jobOf(part));
        }
    }

    /** To be called again and again: cancelled tasks must be gone in time, whether anybody can reach them or not. */
    void watch() {
        for (var e : places.entrySet()) {
            if (sinceCancelledS(jobOf(e.getKey())) > cancelS) {
                broken("ran_cancelled", e.getKey() + " still on " + e.getValue().machine);
            }
        }
    }

    /** To be called when all should be over: each accepted job was cancelled or is complete, and nothing runs. */
    void over() {
        for (String id : unfinished()) {
            broken("left waiting", id + " has " + tasksCompleted(id) + " tasks complete");
        }
        List<String> left = leftRunning();
        if (!left.isEmpty()) {
            broken("left running", left.toString());
        }
    }

    /** Tasks on machines that should not be there in the end: those of services that were not cancelled should. */
    private List<String> leftRunning() {
        return places.keySet().stream()
                .filter(part -> cancelled.containsKey(jobOf(part)) || !isService(submitted.get(jobOf(part))))
                .toList();
    }

    /** Accepted jobs, not cancelled, of which a task is not complete; of services, of which a replica does not run. */
    private List<String> unfinished() {
        return accepted.stream()
                .filter(id -> !cancelled.containsKey(id))
                .filter(id -> (isService(submitted.get(id)) ? tasksThere(id) : tasksCompleted(id))
                        < submitted.get(id).path("parts").asInt())
                .toList();
    }

    /** Accepted jobs, not cancelled, of which a task is neither complete nor on a machine. */
    List<String> waiting() {
        return unfinished().stream()
                .filter(id -> tasksCompleted(id) + tasksThere(id)
                        < submitted.get(id).path("parts").asInt())
                .toList();
    }

    /** True if the team's limit leaves room for one more task of the job. */
    boolean limitAllows(String id) {
        return cpusThere() + submitted.get(id).path("cpus").asDouble() <= teamCpus;
    }

    /** The CPUs that tasks take on a machine. */
    double cpusOn(String machine) {
        return places.entrySet().stream()
                .filter(e -> e.getValue().machine.equals(machine))
                .mapToDouble(e -> submitted.get(jobOf(e.getKey())).path("cpus").asDouble())
                .sum();
    }

    /** To be told again and again, once troubles are over, of each job that waits: is there room that fits it? */
    void waits(String id, boolean besideRoomNow) {
        if (!besideRoomNow) {
            besideRoom.remove(id);
            return;
        }
        long since = besideRoom.computeIfAbsent(id, i -> clock.getAsLong());
        if (Durations.seconds(clock.getAsLong() - since) > WAIT_S) {
            broken("waits beside room", id);
        }
    }

    /** The CPUs that all tasks on machines take. */
    private double cpusThere() {
        return there.entrySet().stream()
                .filter(e -> submitted.containsKey(e.getElement()))
                .mapToDouble(e -> e.getCount()
                        * submitted.get(e.getElement()).path("cpus").asDouble())
                .sum();
    }

    private long tasksThere(String id) {
        return there.count(id);
    }

    boolean allOver() {
        return leftRunning().isEmpty() && unfinished().isEmpty();
    }

    private long tasksCompleted(String id) {
        return completedOf.count(id);
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
        places.forEach((part, place) -> out.put(part, place.machine));
        return out;
    }
}
