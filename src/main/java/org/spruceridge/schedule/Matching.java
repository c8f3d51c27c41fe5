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
import java.util.Set;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.cluster.Kind;
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
        this.matrix =
                new PriorityMatrix(policy.weights(), estimates, policy.rounds().beginWithinS());
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
        private final List<Slot> slots = new ArrayList<>();
        private final Map<String, Room> teamUse = new HashMap<>();
        private final Map<Job, Map<String, Integer>> zones = new HashMap<>();
        private final Map<Job, Row> rows = new LinkedHashMap<>();
        private final List<Placement> placements = new ArrayList<>();
        /** Teams whose limit is held for a row that has been walked. */
        private final Set<String> heldLimits = new HashSet<>();

        private int held;

        /** What is still to be placed of a job. */
        private static final class Row {
            private int left;
            private int nextIndex;
            private boolean begun;

            Row(int left) {
                this.left = left;
            }
        }

        Round(Cluster cluster, long now, long wallMs) {
            this.cluster = cluster;
            this.now = now;
            this.wallMs = wallMs;
            for (Machine m : cluster.machines()) {
                MachineType type = cluster.types().get(m.type());
                if (type != null && usable(m)) {
                    slots.add(new Slot(m, type));
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
                    rows.put(job, new Row(job.waiting()));
                }
            }
            Map<Column, List<Slot>> columns = columns();
            List<PriorityMatrix.Entry> entries =
                    matrix.entries(waiting.build(), ImmutableList.copyOf(columns.keySet()), this::eligible);
            entries.sort(Comparator.comparingDouble((PriorityMatrix.Entry e) -> -e.score())
                    .thenComparingLong(e -> e.candidate().job().submittedMs())
                    .thenComparing(e -> e.candidate().job().id()));
            for (PriorityMatrix.Entry e : entries) {
                Job job = e.candidate().job();
                Row row = rows.get(job);
                if (!row.begun) {
                    row.begun = true;
                    hold(e.candidate(), row);
                }
                bindAll(job, row, columns.get(e.column()));
            }
            List<Binding> stops = new Stopping().run(entries);
            return new Plan(ImmutableList.copyOf(placements), ImmutableList.copyOf(stops), unplaced(), columns.size());
        }

        /** Machines by what their scores depend on. */
        private Map<Column, List<Slot>> columns() {
            Map<Kind, Double> prices = new HashMap<>();
            double dearest = 0;
            for (Slot s : slots) {
                double price = prices.computeIfAbsent(
                        s.machine().kind(),
                        k -> s.type().price(k.spot()) / s.type().room().cpus());
                dearest = Math.max(dearest, price);
            }
            Map<Column, List<Slot>> columns = new LinkedHashMap<>();
            for (Slot s : slots) {
                Kind kind = s.machine().kind();
                double share = dearest > 0 ? prices.get(kind) / dearest : 1;
                columns.computeIfAbsent(new Column(kind, share, s.fullness()), c -> new ArrayList<>())
                        .add(s);
            }
            return columns;
        }

        private Candidate candidate(Job job, double elapsedS) {
            return new Candidate(
                    job, elapsedS, (wallMs - job.submittedMs()) / 1000.0, (job.deadlineMs() - wallMs) / 1000.0);
        }

        private boolean usable(Machine m) {
            double silentS = (now - m.lastHeard()) / 1e9;
            return m.fenced()
                    && !m.returning()
                    && !m.unfit()
                    && silentS < 2.5 * settings.workers().reportS();
        }

        private boolean eligible(Candidate c, Column column) {
            return allowed(c.job().spec(), column.kind());
        }

        private boolean allowed(JobSpec spec, Kind kind) {
            return spec.task().fitsIn(cluster.types().get(kind.type()).room())
                    && spec.allows(kind.type(), kind.zone(), kind.spot());
        }

        private boolean mayRun(Job job, Slot s) {
            return s.suits(job)
                    && s.count() < mostBindings
                    && zoneAllowed(job, s.machine().zone());
        }

        /** Binds what the machines of one column take, always on the fullest that still has room. */
        private void bindAll(Job job, Row row, List<Slot> tied) {
            Room task = job.spec().task();
            while (row.left > 0 && teamHolds(job.spec()) > 0) {
                Slot best = null;
                for (Slot s : tied) {
                    boolean better =
                            best == null || s.free().cpus() < best.free().cpus();
                    if (better && s.fits(task) && mayRun(job, s)) {
                        best = s;
                    }
                }
                if (best == null) {
                    return;
                }
                // It stays the fullest until no more of these tasks fit.
                while (row.left > 0 && best.fits(task) && mayRun(job, best) && teamHolds(job.spec()) > 0) {
                    bind(job, row, best);
                }
            }
        }

        /**
         * Keeps what is free on the machines that will have room soonest for those tasks of this row that fit nowhere
         * now, out of the reach of rows of a lower score: else each slot that falls free goes to a smaller task and
         * large ones never run.
         */
        private void hold(Candidate c, Row row) {
            Job job = c.job();
            Room task = job.spec().task();
            int most = (int) Math.ceil(slots.size() * policy.rounds().heldShare());
            int wanted = Math.min(row.left, teamHolds(job.spec()));
            if (wanted == 0 && most > 0 && slots.stream().anyMatch(s -> takes(job, s))) {
                // The team's limit alone keeps it back. What is left of that is held like room on a machine: else each
                // piece that falls free goes to a smaller task of the team, and a large one never begins.
                heldLimits.add(job.spec().team());
            }
            if (held >= most || wanted == 0) {
                return;
            }
            List<Waiting> later = new ArrayList<>();
            for (Slot s : slots) {
                if (!allowed(job.spec(), s.machine().kind()) || !mayRun(job, s)) {
                    continue;
                }
                if (s.fits(task)) {
                    wanted -= s.free().holds(task);
                    if (wanted <= 0) {
                        return;
                    }
                } else if (!s.held()) {
                    double inS = s.roomInS(task, this::remainingS);
                    if (inS < Double.POSITIVE_INFINITY) {
                        later.add(new Waiting(s, inS));
                    }
                }
            }
            later.sort(Comparator.comparingDouble(Waiting::inS));
            for (Waiting next : later.subList(0, Math.min(later.size(), Math.min(wanted, most - held)))) {
                next.slot.hold(task);
                held++;
            }
        }

        /** True if the machine could take a task of the job now. */
        private boolean takes(Job job, Slot s) {
            return s.fits(job.spec().task()) && allowed(job.spec(), s.machine().kind()) && mayRun(job, s);
        }

        /** A machine that will have room after some time. */
        private record Waiting(Slot slot, double inS) {}

        private double remainingS(Binding b) {
            return estimates.remainingS(candidate(b.job(), b.elapsedS(now)));
        }

        /** How many more tasks of this size the team's limit lets in. */
        private int teamHolds(JobSpec spec) {
            Settings.Team team = settings.teams().get(spec.team());
            if (team == null || heldLimits.contains(spec.team())) {
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

        private void bind(Job job, Row row, Slot slot) {
            JobSpec spec = job.spec();
            int index = job.nextWaiting(row.nextIndex);
            row.nextIndex = index + 1;
            row.left--;
            slot.take(spec.task());
            teamUse.computeIfPresent(spec.team(), (k, room) -> room.plus(spec.task()));
            if (spec.oneZone() || spec.spread()) {
                zones.computeIfAbsent(job, this::zonesOf).merge(slot.machine().zone(), 1, Integer::sum);
            }
            placements.add(new Placement(job, index, slot.machine()));
        }

        private ImmutableMap<Job, Integer> unplaced() {
            ImmutableMap.Builder<Job, Integer> out = ImmutableMap.builder();
            rows.forEach((job, row) -> {
                int wanted = job.doubted() ? 0 : Math.min(row.left, teamHolds(job.spec()));
                if (wanted > 0) {
                    out.put(job, wanted);
                }
            });
            return out.build();
        }

        /** Stops running tasks for waiting ones of a higher rank that would otherwise miss their deadline. */
        private final class Stopping {
            private final Map<Slot, Room> coming = new LinkedHashMap<>();
            private final List<Binding> stops = new ArrayList<>();
            private final Set<Machine> stoppedOn = new HashSet<>();

            /** A running task that may give way, and what stopping it throws away. */
            private record Victim(Slot slot, Binding binding, double loss) {}

            List<Binding> run(List<PriorityMatrix.Entry> entries) {
                Map<Job, Candidate> pressing = new LinkedHashMap<>();
                for (PriorityMatrix.Entry e : entries) {
                    Job job = e.candidate().job();
                    if (e.urgency() > 0 && e.urgency() < 1 && rows.get(job).left > 0) {
                        pressing.putIfAbsent(job, e.candidate());
                    }
                }
                if (!pressing.isEmpty()) {
                    slots.forEach(s -> coming.put(s, roomComing(s)));
                    pressing.values().forEach(this::makeRoom);
                }
                return stops;
            }

            /** What is free on a machine, or is being left by tasks that end. */
            private Room roomComing(Slot s) {
                Room room = s.free();
                for (Binding b : s.machine().bindings()) {
                    boolean leaving = b.halt() != Binding.Halt.NO || b.phase() == Binding.Phase.ENDED;
                    room = leaving && !b.gone() ? room.plus(b.job().spec().task()) : room;
                }
                return room;
            }

            private void makeRoom(Candidate c) {
                Job job = c.job();
                Room task = job.spec().task();
                int wanted = Math.min(rows.get(job).left, teamHolds(job.spec()));
                List<Victim> victims = new ArrayList<>();
                for (Slot s : slots) {
                    if (wanted <= 0) {
                        return;
                    }
                    if (!allowed(job.spec(), s.machine().kind()) || !mayRun(job, s)) {
                        continue;
                    }
                    int there = Math.min(wanted, coming.get(s).holds(task)); // room is being made already
                    for (int i = 0; i < there; i++) {
                        coming.computeIfPresent(s, (k, room) -> room.minus(task));
                    }
                    wanted -= there;
                    if (there == 0 && mayStop(s.machine())) {
                        Victim least = leastLoss(c, s);
                        if (least != null) {
                            victims.add(least);
                        }
                    }
                }
                victims.sort(Comparator.comparingDouble(Victim::loss));
                for (Victim v : victims.subList(0, Math.min(wanted, victims.size()))) {
                    stops.add(v.binding);
                    stoppedOn.add(v.slot.machine());
                    Room after = coming.get(v.slot).plus(v.binding.job().spec().task());
                    coming.put(v.slot, after.minus(task));
                }
            }

            private Victim leastLoss(Candidate c, Slot s) {
                Victim least = null;
                for (Binding b : s.machine().bindings()) {
                    if (isVictim(c, b, coming.get(s)) && (least == null || loss(b) < least.loss)) {
                        least = new Victim(s, b, loss(b));
                    }
                }
                return least;
            }

            /** One stop per machine and period, those of this round counted. */
            private boolean mayStop(Machine m) {
                boolean recent = m.lastStop() != Long.MIN_VALUE
                        && (now - m.lastStop()) / 1e9 < policy.stops().perMachineS();
                return !recent && !stoppedOn.contains(m);
            }

            private boolean isVictim(Candidate c, Binding b, Room free) {
                Room after = free.plus(b.job().spec().task());
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
