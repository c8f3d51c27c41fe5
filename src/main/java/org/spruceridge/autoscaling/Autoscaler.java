package org.spruceridge.autoscaling;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.cloud.CloudClient;
import org.spruceridge.cloud.HostInfo;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.BindingReleaser;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.cluster.Resources;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.schedule.Plan;

/** Keeps the machines: rents what the cycles lack, returns what idles, and finds out which are gone. */
public final class Autoscaler {
    private static final Logger LOG = LoggerFactory.getLogger(Autoscaler.class);
    /** A deleted machine costs at least this long, so an idle one is not returned before. */
    private static final double LEAST_PAID_S = 60;

    private static final long CATALOGUE_EVERY = Durations.nanos(60);

    private final Loop loop;
    private final CancellationScope scope;
    private final CloudClient cloud;
    private final Cluster cluster;
    private final Settings settings;
    private final Policy policy;
    private final BooleanSupplier leads;
    private final Supplier<Optional<Plan>> lastPlan;
    private final Runnable changed;
    private final FailureDetector failureDetector;
    private final WarmCapacity warmCapacity;
    private final RentalRequests rentals;
    private final MachineReturns returns;
    private long lastTick;
    private long lastPlanned = Long.MIN_VALUE / 2;

    /** {@code leads} tells whether the lease of the leader still holds; {@code changed} asks for a scheduling cycle. */
    public Autoscaler(
            Loop loop,
            CancellationScope scope,
            CloudClient cloud,
            Cluster cluster,
            BindingReleaser recordWriter,
            Settings settings,
            Policy policy,
            long term,
            BooleanSupplier leads,
            Supplier<Optional<Plan>> lastPlan,
            Runnable changed) {
        this.loop = loop;
        this.scope = scope;
        this.cloud = cloud;
        this.cluster = cluster;
        this.settings = settings;
        this.policy = policy;
        this.leads = leads;
        this.lastPlan = lastPlan;
        this.changed = changed;
        this.failureDetector = new FailureDetector(loop, cluster, settings, policy);
        this.warmCapacity = new WarmCapacity(settings, loop.nanos());
        CloudAccess access = new CloudAccess(loop, scope, cloud, cluster, leads);
        this.rentals = new RentalRequests(access, term, settings.workers().leaseS());
        this.returns = new MachineReturns(access, recordWriter, changed);
        this.lastTick = loop.nanos();
    }

    /** Begins to follow the cloud's lists and to rent and return machines. */
    public void start() {
        refreshCatalogue();
        refreshList();
        tick();
    }

    private void refreshCatalogue() {
        cloud.catalogue(scope.guard(answer -> {
            answer.ifPresent(types -> {
                cluster.updateTypes(types);
                changed.run();
            });
            scope.after(answer.isPresent() ? CATALOGUE_EVERY : CloudAccess.RETRY, this::refreshCatalogue);
        }));
    }

    private void refreshList() {
        cloud.machines(scope.guard(answer -> {
            answer.ifPresent(this::takeList);
            scope.after(
                    Math.max(CloudAccess.RETRY, Durations.nanos(settings.cloud().listLagS() / 2)), this::refreshList);
        }));
    }

    private void tick() {
        long now = loop.nanos();
        if (now - lastTick > Durations.nanos(settings.workers().heartbeatIntervalS())) {
            fallsBehind();
        }
        lastTick = now;
        if (leads.getAsBoolean()) {
            endLeases();
            deleteFailed();
            // While requests wait, what to rent is worked out less often: workers' reports come first.
            double plannedAgoS = Durations.secondsSince(lastPlanned, now);
            if (!loop.busy() || plannedAgoS > settings.workers().maxDecisionDelayS()) {
                lastPlanned = now;
                rentAndReturn();
            }
        }
        scope.after(Durations.nanos(settings.workers().heartbeatIntervalS() / 3), this::tick);
    }

    /** This node does not keep up: what it has not heard yet may well have been said. */
    public void fallsBehind() {
        failureDetector.fallsBehind();
    }

    private void takeList(ImmutableList<HostInfo> list) {
        long now = loop.nanos();
        List<String> failed = new ArrayList<>();
        for (HostInfo host : list) {
            Machine machine = cluster.machine(host.name());
            if (host.stage() == HostInfo.Stage.FAILED) {
                if (machine != null) {
                    LOG.info("machine {} has failed", machine.name());
                    returns.gone(machine);
                }
                failed.add(host.name());
                continue;
            }
            if (machine == null && !cluster.wasRemoved(host.name())) {
                machine = new Machine(
                        host.name(), host.address(), new MachineKind(host.type(), host.zone(), host.spot()), now, now);
                cluster.add(machine);
            }
            if (machine != null) {
                machine.launchedAt(Math.min(machine.launchedAt(), now - Durations.nanos(host.ageS())));
            }
        }
        returns.unlist(failed);
    }

    private void endLeases() {
        for (Machine m : failureDetector.withExpiredLeases()) {
            LOG.info(
                    "machine {} has not reported for a lease: its {} tasks are gone",
                    m.name(),
                    m.bindings().size());
            m.endIncarnation();
            returns.releaseAll(m);
        }
    }

    /** Deletes machines that have to be given up; the deletion proves that their tasks are gone. */
    private void deleteFailed() {
        List<Machine> overdue = failureDetector.withOverdueStops();
        overdue.stream().filter(m -> !m.isTerminating()).forEach(this::logOverdue);
        returns.delete(overdue, "cancelled tasks that do not end");
        returns.delete(failureDetector.lost(), "lost or never up");
    }

    private void logOverdue(Machine m) {
        long now = loop.nanos();
        m.bindings().stream()
                .filter(b -> b.job().isCancelled())
                .min(Comparator.comparingLong(b -> b.job().cancelledAt()))
                .ifPresent(b -> LOG.info(
                        "stop overdue: {}, {}, cancelled {} s ago, heard of {} s ago; the machine was last heard {} s ago",
                        b,
                        b.phase(),
                        Durations.secondsSince(b.job().cancelledAt(), now),
                        Durations.secondsSince(b.job().cancellationLearnedAt(), now),
                        Durations.secondsSince(m.lease().lastHeartbeat(), now)));
    }

    /** How long ago the job of the oldest stop that is not proven was cancelled, in seconds; 0 if there is none. */
    public double oldestUnprovenStopS() {
        return failureDetector.oldestUnprovenStopS();
    }

    private void rentAndReturn() {
        Optional<Plan> latest = lastPlan.get();
        if (latest.isEmpty() || cluster.types().isEmpty()) {
            return;
        }
        Plan plan = latest.get();
        long now = loop.nanos();
        List<WarmCapacity.Wanted> standingBy = warmCapacity.wanted(cluster, now, loop.wallMillis());
        ScaleUpPlanner planner = new ScaleUpPlanner(cluster, rentals::available, smallestTask(plan, standingBy));
        List<Machine> here = new ArrayList<>();
        for (Machine m : cluster.machines()) {
            if (m.isTerminating() || m.isUnschedulable()) {
                continue;
            }
            if (m.hasReported()) {
                here.add(m);
            } else if (comingSoon(m, now)) {
                planner.add(m);
            }
        }
        rentals.forEachPending((offer, count) -> {
            for (int i = 0; i < count; i++) {
                planner.add(offer);
            }
        });
        for (Machine m : here) {
            planner.addFreed(m, freedWithinBoot(m, now));
        }
        plan.unplaced().forEach((job, count) -> planner.place(job.spec(), count, ZoneAllowance.of(job)));
        here.forEach(planner::add); // standing by may count on room that the cycle left free
        standingBy.forEach(wanted ->
                planner.place(wanted.example(), wanted.tasks(), ZoneAllowance.of(wanted.example(), wanted.tasks())));
        planner.wanted().forEach(rentals::rent);
        returnIdle(planner.kept(), now);
    }

    /** The least of each resource that any task to be placed takes. */
    private static Resources smallestTask(Plan plan, List<WarmCapacity.Wanted> standingBy) {
        Stream<JobSpec> specs = Stream.concat(
                plan.unplaced().keySet().stream().map(Job::spec),
                standingBy.stream().map(WarmCapacity.Wanted::example));
        return Resources.minOf(specs.map(JobSpec::task));
    }

    /** What the tasks of a machine will leave free sooner than another machine can boot, by their estimates. */
    private Resources freedWithinBoot(Machine m, long now) {
        double bootS = cluster.typeOf(m).map(MachineType::bootS).orElse(0.0);
        Resources freed = Resources.NONE;
        for (Binding b : m.bindings()) {
            double remainingS = b.job().spec().estimateS() - b.elapsedS(now);
            boolean runs = b.phase() == Binding.Phase.RUNNING;
            if (runs && b.isExpectedToEnd() && remainingS < bootS && !b.isProvenGone()) {
                freed = freed.plus(b.job().spec().task());
            }
        }
        return freed;
    }

    private boolean comingSoon(Machine m, long now) {
        double bootS = cluster.typeOf(m).map(MachineType::bootS).orElse(0.0);
        return Durations.secondsSince(m.launchedAt(), now) < 2 * bootS
                || Durations.secondsSince(m.knownSince(), now)
                        < 2 * settings.workers().heartbeatIntervalS();
    }

    private void returnIdle(Set<Machine> kept, long now) {
        List<Machine> idle = new ArrayList<>();
        for (Machine m : cluster.machines()) {
            if (m.isTerminating() || !m.hasReported() || !(m.bindings().isEmpty() || lateStartMayHarm(m))) {
                continue;
            }
            double bootS = cluster.typeOf(m).map(MachineType::bootS).orElse(0.0);
            boolean idleLong = Durations.secondsSince(m.idleSince(), now)
                            > policy.fleet().idleTimeoutBoots() * bootS * cheapness(m)
                    && Durations.secondsSince(m.launchedAt(), now) > LEAST_PAID_S;
            boolean useless = m.isUnschedulable() && !(m.suspicion().isSuspect() && beingAsked(m, now));
            if (useless || (idleLong && !kept.contains(m) && !warmCapacity.learning(cluster, now))) {
                idle.add(m);
            }
        }
        returns.delete(idle, "idle or of no use");
    }

    /** Its reach came into doubt a moment ago, and it has been asked for a sign. */
    private boolean beingAsked(Machine m, long now) {
        return Durations.secondsSince(m.unacknowledgedSince(), now)
                < settings.workers().leaseS() / 2;
    }

    /** The lowest price of a machine's type against its own: the dearer it is, the sooner it is given back. */
    private double cheapness(Machine m) {
        return cluster.typeOf(m)
                .map(t -> Math.min(t.price(), t.spotPrice()) / t.price(m.isSpot()))
                .orElse(1.0);
    }

    /** A start of a cancelled job may still be on its way to this machine: only its end makes sure. */
    private static boolean lateStartMayHarm(Machine m) {
        return m.directCommands().hasUncertainStart()
                && m.bindings().stream()
                        .anyMatch(b -> b.job().isCancelled()
                                && b.phase() == Binding.Phase.ABSENT
                                && m.directCommands().isStartUnresolved(b.attempt()));
    }
}
