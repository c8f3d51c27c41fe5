package org.spruceridge.schedule;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.cluster.Room;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.schedule.Plan.Placement;

/**
 * The Matching phase: walks the matrix from the highest score down and binds what still fits, ties going to the fuller
 * machine. Room, team limits, zones and machine kinds are counted over bindings. It reads the picture and changes
 * nothing.
 */
public final class Matching {
    private final Settings settings;
    private final Policy policy;
    private final Estimates estimates;
    private final PriorityMatrix matrix;
    private final int mostBindings;

    /** {@code mostBindings} is what the record of one machine can hold. */
    public Matching(Settings settings, Policy policy, int mostBindings) {
        this.settings = settings;
        this.policy = policy;
        this.mostBindings = mostBindings;
        this.estimates = new Estimates(policy.rounds().remainingFloorS());
        this.matrix = new PriorityMatrix(policy.weights(), estimates);
    }

    /** Plans one round. */
    public Plan plan(Cluster cluster, long now, long wallMs) {
        return new Round(cluster, now, wallMs).run();
    }

    /** The working copy of one round. */
    private final class Round {
        private final Cluster cluster;
        private final long now;
        private final long wallMs;
        private final Map<Machine, Room> free = new LinkedHashMap<>();
        private final Map<Machine, Integer> count = new HashMap<>();
        private final Map<String, Room> teamUse = new HashMap<>();
        private final Map<Job, Map<String, Integer>> zones = new HashMap<>();
        private final Map<Job, Integer> nextIndex = new HashMap<>();
        private final Map<Job, Integer> left = new HashMap<>();
        private final Set<Machine> held = new HashSet<>();
        private final List<Placement> placements = new ArrayList<>();

        Round(Cluster cluster, long now, long wallMs) {
            this.cluster = cluster;
            this.now = now;
            this.wallMs = wallMs;
            for (Machine m : cluster.machines()) {
                if (usable(m)) {
                    free.put(m, cluster.free(m));
                    count.put(m, m.bindings().size());
                }
            }
            for (String team : settings.teams().keySet()) {
                teamUse.put(team, cluster.usedBy(team));
            }
        }

        Plan run() {
            ImmutableList.Builder<Candidate> waiting = ImmutableList.builder();
            for (Job job : cluster.jobs()) {
                if (job.waiting() > 0 && job.notBefore() <= now) {
                    waiting.add(candidate(job, 0));
                    left.put(job, job.waiting());
                }
            }
            List<PriorityMatrix.Entry> entries = matrix.entries(
                    waiting.build(),
                    ImmutableList.copyOf(free.keySet()),
                    this::eligible,
                    this::pricePerCpu,
                    this::fullness);
            entries.sort(Comparator.comparingDouble((PriorityMatrix.Entry e) -> -e.score())
                    .thenComparingLong(e -> e.candidate().job().submittedMs())
                    .thenComparing(e -> e.candidate().job().id()));
            int i = 0;
            while (i < entries.size()) {
                PriorityMatrix.Entry first = entries.get(i);
                List<Machine> tied = new ArrayList<>();
                for (; i < entries.size(); i++) {
                    PriorityMatrix.Entry e = entries.get(i);
                    if (e.candidate() != first.candidate() || e.score() != first.score()) {
                        break;
                    }
                    tied.add(e.machine());
                }
                bindAll(first.candidate().job(), tied);
                boolean lastOfRow = i == entries.size() || entries.get(i).candidate() != first.candidate();
                if (lastOfRow && left.get(first.candidate().job()) > 0) {
                    hold(first.candidate());
                }
            }
            List<Binding> stops = new Stopping().run(entries);
            return new Plan(ImmutableList.copyOf(placements), ImmutableList.copyOf(stops), unplaced());
        }

        private Candidate candidate(Job job, double elapsedS) {
            return new Candidate(
                    job, elapsedS, (wallMs - job.submittedMs()) / 1000.0, (job.deadlineMs() - wallMs) / 1000.0);
        }

        private double fullness(Machine m) {
            return 1 - free.get(m).cpus() / cluster.types().get(m.type()).room().cpus();
        }

        private double pricePerCpu(Machine m) {
            return cluster.typeOf(m)
                    .map(t -> t.price(m.spot()) / t.room().cpus())
                    .orElse(0.0);
        }

        private boolean usable(Machine m) {
            double silentS = (now - m.lastHeard()) / 1e9;
            return m.fenced()
                    && !m.returning()
                    && !m.unfit()
                    && silentS < 2.5 * settings.workers().reportS()
                    && cluster.typeOf(m).isPresent();
        }

        private boolean eligible(Candidate c, Machine m) {
            Job job = c.job();
            Optional<MachineType> type = cluster.typeOf(m);
            return type.isPresent()
                    && job.spec().task().fitsIn(type.get().room())
                    && job.spec().allows(m.type(), m.zone(), m.spot())
                    && (job.doubted() || !job.faultyOn().contains(m.name()));
        }

        private void bindAll(Job job, List<Machine> tied) {
            while (left.getOrDefault(job, 0) > 0) {
                Optional<Machine> best = tied.stream()
                        .filter(m -> fits(job, m))
                        .min(Comparator.comparingDouble(m -> free.get(m).cpus()));
                if (best.isEmpty()) {
                    return;
                }
                bind(job, best.get());
            }
        }

        /**
         * Keeps what is free on the machines that will have room soonest for tasks of this row, out of the reach of
         * rows of a lower score: else each slot that falls free goes to a smaller task and large ones never run.
         */
        private void hold(Candidate c) {
            Job job = c.job();
            int wanted = Math.min(left.get(job), teamHolds(job.spec()));
            int most = (int) Math.ceil(free.size() * policy.rounds().heldShare());
            for (int n = 0; n < wanted && held.size() < most; n++) {
                Optional<Machine> soonest = free.keySet().stream()
                        .filter(m -> !held.contains(m) && eligible(c, m) && zoneAllowed(job, m.zone()))
                        .filter(m -> roomInS(m, job.spec().task()) < Double.MAX_VALUE)
                        .min(Comparator.comparingDouble(
                                m -> roomInS(m, job.spec().task())));
                if (soonest.isEmpty()) {
                    return;
                }
                held.add(soonest.get());
                free.computeIfPresent(
                        soonest.get(),
                        (m, room) -> room.minus(room.least(job.spec().task())));
            }
        }

        /** Seconds until the tasks on the machine will have left enough room, by their estimates. */
        private double roomInS(Machine m, Room task) {
            List<Binding> bySoonest = new ArrayList<>(m.bindings());
            bySoonest.sort(Comparator.comparingDouble(this::remainingS));
            Room room = free.get(m);
            for (Binding b : bySoonest) {
                room = room.plus(b.job().spec().task());
                if (task.fitsIn(room)) {
                    return remainingS(b);
                }
            }
            return Double.MAX_VALUE;
        }

        private double remainingS(Binding b) {
            return estimates.remainingS(candidate(b.job(), b.elapsedS(now)), b.machine());
        }

        private boolean fits(Job job, Machine m) {
            JobSpec spec = job.spec();
            return spec.task().fitsIn(free.get(m))
                    && count.get(m) < mostBindings
                    && teamHolds(spec) > 0
                    && zoneAllowed(job, m.zone());
        }

        /** How many more tasks of this size the team's limit lets in. */
        private int teamHolds(JobSpec spec) {
            Settings.Team team = settings.teams().get(spec.team());
            if (team == null) {
                return 0;
            }
            Room used = teamUse.get(spec.team());
            Room limit = new Room(
                    team.cpusMax() > 0 ? team.cpusMax() - used.cpus() : Double.MAX_VALUE,
                    team.gpusMax() > 0 ? team.gpusMax() - used.gpus() : Double.MAX_VALUE,
                    Double.MAX_VALUE);
            return limit.holds(spec.task());
        }

        private boolean zoneAllowed(Job job, String zone) {
            JobSpec spec = job.spec();
            if (!spec.oneZone() && !spec.spread()) {
                return true;
            }
            Map<String, Integer> used = zones.computeIfAbsent(job, this::zonesOf);
            boolean together = !spec.oneZone() || used.isEmpty() || used.containsKey(zone);
            return together && used.getOrDefault(zone, 0) < spec.zoneLimit();
        }

        private Map<String, Integer> zonesOf(Job job) {
            Map<String, Integer> used = new HashMap<>();
            job.bindings().forEach(b -> used.merge(b.machine().zone(), 1, Integer::sum));
            return used;
        }

        private void bind(Job job, Machine m) {
            int index = job.nextWaiting(nextIndex.getOrDefault(job, 0));
            nextIndex.put(job, index + 1);
            left.merge(job, -1, Integer::sum);
            free.computeIfPresent(m, (k, room) -> room.minus(job.spec().task()));
            count.merge(m, 1, Integer::sum);
            teamUse.computeIfPresent(
                    job.spec().team(), (k, room) -> room.plus(job.spec().task()));
            zones.computeIfAbsent(job, this::zonesOf).merge(m.zone(), 1, Integer::sum);
            placements.add(new Placement(job, index, m));
        }

        private ImmutableMap<Job, Integer> unplaced() {
            ImmutableMap.Builder<Job, Integer> out = ImmutableMap.builder();
            left.forEach((job, n) -> {
                int wanted = job.doubted() ? 0 : Math.min(n, teamHolds(job.spec()));
                if (wanted > 0) {
                    out.put(job, wanted);
                }
            });
            return out.build();
        }

        /** Stops running tasks for waiting ones of a higher rank that would otherwise miss their deadline. */
        private final class Stopping {
            private final Map<Machine, Room> coming = new LinkedHashMap<>();
            private final Set<Machine> stopping = new HashSet<>();

            List<Binding> run(List<PriorityMatrix.Entry> entries) {
                for (Machine m : free.keySet()) {
                    Room room = free.get(m);
                    for (Binding b : m.bindings()) {
                        boolean leaving = b.halt() != Binding.Halt.NO || b.phase() == Binding.Phase.ENDED;
                        room = leaving ? room.plus(b.job().spec().task()) : room;
                    }
                    coming.put(m, room);
                }
                List<Binding> stops = new ArrayList<>();
                Map<Job, Boolean> seen = new LinkedHashMap<>();
                for (PriorityMatrix.Entry e : entries) {
                    Job job = e.candidate().job();
                    boolean pressing = e.urgency() > 0 && e.urgency() < 1;
                    if (pressing && left.get(job) > 0 && seen.put(job, true) == null) {
                        int wanted = Math.min(left.get(job), teamHolds(job.spec()));
                        for (int i = 0; i < wanted && makeRoom(e.candidate(), stops); i++) {}
                    }
                }
                return stops;
            }

            private boolean makeRoom(Candidate c, List<Binding> stops) {
                Room task = c.job().spec().task();
                for (Machine m : coming.keySet()) {
                    if (eligible(c, m) && task.fitsIn(coming.get(m)) && zoneAllowed(c.job(), m.zone())) {
                        coming.computeIfPresent(m, (k, room) -> room.minus(task));
                        return true; // room is being made already
                    }
                }
                Optional<Binding> victim = coming.keySet().stream()
                        .filter(m -> eligible(c, m) && zoneAllowed(c.job(), m.zone()) && mayStop(m))
                        .flatMap(m -> m.bindings().stream())
                        .filter(b -> isVictim(c, b))
                        .min(Comparator.comparingDouble(this::loss));
                victim.ifPresent(b -> {
                    Machine m = b.machine();
                    stops.add(b);
                    stopping.add(m);
                    coming.computeIfPresent(
                            m, (k, room) -> room.plus(b.job().spec().task()).minus(task));
                });
                return victim.isPresent();
            }

            /** One stop per machine and period, those of this round counted. */
            private boolean mayStop(Machine m) {
                if (stopping.contains(m)) {
                    return false;
                }
                boolean recent = m.lastStop() != Long.MIN_VALUE
                        && (now - m.lastStop()) / 1e9 < policy.stops().perMachineS();
                return !recent;
            }

            private boolean isVictim(Candidate c, Binding b) {
                Room after = coming.get(b.machine()).plus(b.job().spec().task());
                return b.halt() == Binding.Halt.NO
                        && (b.phase() == Binding.Phase.RUNNING || b.phase() == Binding.Phase.FETCHING)
                        && c.job().spec().rank().outranks(b.job().spec().rank())
                        && c.job().spec().task().fitsIn(after);
            }

            /** What stopping the task throws away: the time since its last save, or all that it has run. */
            private double loss(Binding b) {
                JobSpec spec = b.job().spec();
                return spec.saves() ? spec.saveS() : b.elapsedS(now);
            }
        }
    }
}
