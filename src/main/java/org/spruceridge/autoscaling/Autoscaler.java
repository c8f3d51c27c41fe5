package org.spruceridge.autoscaling;

import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.spruceridge.cloud.CloudClient;
import org.spruceridge.cluster.BindingReleaser;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Machine;
import org.spruceridge.config.Settings;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.schedule.Plan;
import org.spruceridge.term.LeaderContext;

/** Runs the periodic work on machines: follows the cloud's lists, removes failed machines, scales out and in. */
public final class Autoscaler {
    private static final long CATALOGUE_REFRESH_NANOS = Durations.nanos(60);

    private final Loop loop;
    private final CancellationScope scope;
    private final CloudClient cloud;
    private final Cluster cluster;
    private final Settings settings;
    private final BooleanSupplier leads;
    private final Supplier<Optional<Plan>> lastPlan;
    private final Runnable changed;
    private final FailureDetector failureDetector;
    private final MachineListReconciler machineList;
    private final FailedMachineRemoval failedMachineRemoval;
    private final ScaleOutCycle scaleOut;
    private final ScaleInCycle scaleIn;
    private long lastTick;
    private long lastScaling = Long.MIN_VALUE / 2;

    /**
     * An autoscaler for one term.
     *
     * @param lastPlan the plan of the last scheduling cycle, empty before the first one
     * @param changed asks for a scheduling cycle
     */
    public Autoscaler(
            LeaderContext context,
            CloudClient cloud,
            BindingReleaser releaser,
            Supplier<Optional<Plan>> lastPlan,
            Runnable changed) {
        this.loop = context.loop();
        this.scope = context.scope();
        this.cloud = cloud;
        this.cluster = context.cluster();
        this.settings = context.settings();
        this.leads = context.isLeader();
        this.lastPlan = lastPlan;
        this.changed = changed;
        this.failureDetector = new FailureDetector(loop, cluster, settings, context.policy());
        WarmCapacity warmCapacity = new WarmCapacity(settings, loop.nanos());
        CloudAccess access = new CloudAccess(loop, scope, cloud, cluster, leads);
        ScaleOutRequests scaleOutRequests = new ScaleOutRequests(
                access, context.term().term(), settings.workers().leaseS());
        ScaleInRequests scaleInRequests = new ScaleInRequests(access, releaser, changed);
        this.machineList = new MachineListReconciler(loop, cluster, scaleInRequests);
        this.failedMachineRemoval = new FailedMachineRemoval(loop, failureDetector, scaleInRequests);
        this.scaleOut = new ScaleOutCycle(cluster, settings, warmCapacity, scaleOutRequests);
        this.scaleIn = new ScaleInCycle(context, warmCapacity, scaleInRequests);
        this.lastTick = loop.nanos();
    }

    /** Starts to follow the cloud's lists and to scale. */
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
            scope.after(
                    answer.isPresent() ? CATALOGUE_REFRESH_NANOS : CloudAccess.RETRY_INTERVAL_NANOS,
                    this::refreshCatalogue);
        }));
    }

    private void refreshList() {
        cloud.machines(scope.guard(answer -> {
            answer.ifPresent(machineList::reconcile);
            scope.after(
                    Math.max(
                            CloudAccess.RETRY_INTERVAL_NANOS,
                            Durations.nanos(settings.cloud().listLagS() / 2)),
                    this::refreshList);
        }));
    }

    private void tick() {
        long now = loop.nanos();
        if (now - lastTick > Durations.nanos(settings.workers().heartbeatIntervalS())) {
            recordOverload();
        }
        lastTick = now;
        if (leads.getAsBoolean()) {
            failedMachineRemoval.run();
            // While requests wait, scaling is decided less often: the heartbeats of workers come first.
            double sinceScalingS = Durations.secondsSince(lastScaling, now);
            if (!loop.busy() || sinceScalingS > settings.workers().maxDecisionDelayS()) {
                lastScaling = now;
                scale();
            }
        }
        scope.after(Durations.nanos(settings.workers().heartbeatIntervalS() / 3), this::tick);
    }

    /** Records that this node does not keep up: heartbeats may have arrived that it has not handled yet. */
    public void recordOverload() {
        failureDetector.recordOverload();
    }

    private void scale() {
        Optional<Plan> plan = lastPlan.get();
        if (plan.isEmpty() || cluster.types().isEmpty()) {
            return;
        }
        long now = loop.nanos();
        Set<Machine> needed = scaleOut.run(plan.get(), now, loop.wallMillis());
        scaleIn.run(needed, now);
    }

    /** How long ago the job of the oldest stop that is not proven was cancelled, in seconds; 0 if there is none. */
    public double oldestUnprovenStopS() {
        return failureDetector.oldestUnprovenStopS();
    }
}
