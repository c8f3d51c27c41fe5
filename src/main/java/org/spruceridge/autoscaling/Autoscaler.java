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

/**
 * Manages the machines of one leader term. It periodically polls the cloud's lists of machine types and machines,
 * removes failed machines, and scales the cluster out and in.
 */
public final class Autoscaler {
    private static final long CATALOGUE_REFRESH_NANOS = Durations.nanos(60);

    private final Loop loop;
    private final CancellationScope scope;
    private final CloudClient cloud;
    private final Cluster cluster;
    private final Settings settings;
    private final BooleanSupplier isLeader;
    private final Supplier<Optional<Plan>> lastPlan;
    private final Runnable requestSchedulingCycle;
    private final FailureDetector failureDetector;
    private final MachineListReconciler machineListReconciler;
    private final FailedMachineRemoval failedMachineRemoval;
    private final ScaleOutCycle scaleOut;
    private final ScaleInCycle scaleIn;
    private long lastTickAt;
    private long lastScalingAt = Long.MIN_VALUE / 2;

    /**
     * Creates an autoscaler for one term.
     *
     * @param lastPlan supplies the plan of the last scheduling cycle, empty before the first cycle
     * @param requestSchedulingCycle requests a scheduling cycle; called when a machine has been removed or the machine
     *     types have been fetched
     */
    public Autoscaler(
            LeaderContext context,
            CloudClient cloud,
            BindingReleaser releaser,
            Supplier<Optional<Plan>> lastPlan,
            Runnable requestSchedulingCycle) {
        this.loop = context.loop();
        this.scope = context.scope();
        this.cloud = cloud;
        this.cluster = context.cluster();
        this.settings = context.settings();
        this.isLeader = context.isLeader();
        this.lastPlan = lastPlan;
        this.requestSchedulingCycle = requestSchedulingCycle;
        this.failureDetector = new FailureDetector(loop, cluster, settings, context.policy());
        WarmCapacity warmCapacity = new WarmCapacity(settings, loop.nanos());
        CloudRequestContext cloudContext = new CloudRequestContext(loop, scope, cloud, cluster, isLeader);
        ScaleOutRequests scaleOutRequests = new ScaleOutRequests(
                cloudContext, context.term().term(), settings.workers().leaseS());
        ScaleInRequests scaleInRequests = new ScaleInRequests(cloudContext, releaser, requestSchedulingCycle);
        this.machineListReconciler = new MachineListReconciler(loop, cluster, scaleInRequests);
        this.failedMachineRemoval = new FailedMachineRemoval(loop, failureDetector, scaleInRequests);
        this.scaleOut = new ScaleOutCycle(cluster, settings, warmCapacity, scaleOutRequests);
        this.scaleIn = new ScaleInCycle(context, warmCapacity, scaleInRequests);
        this.lastTickAt = loop.nanos();
    }

    /** Starts polling the cloud's lists and scaling. */
    public void start() {
        refreshCatalogue();
        refreshMachineList();
        tick();
    }

    private void refreshCatalogue() {
        cloud.fetchMachineTypes(scope.guard(response -> {
            response.ifPresent(types -> {
                cluster.updateMachineTypes(types);
                requestSchedulingCycle.run();
            });
            scope.after(
                    response.isPresent() ? CATALOGUE_REFRESH_NANOS : CloudRequestContext.RETRY_INTERVAL_NANOS,
                    this::refreshCatalogue);
        }));
    }

    private void refreshMachineList() {
        cloud.listMachines(scope.guard(response -> {
            response.ifPresent(machineListReconciler::reconcile);
            scope.after(
                    Math.max(
                            CloudRequestContext.RETRY_INTERVAL_NANOS,
                            Durations.nanos(settings.cloud().listLagS() / 2)),
                    this::refreshMachineList);
        }));
    }

    private void tick() {
        long now = loop.nanos();
        if (now - lastTickAt > Durations.nanos(settings.workers().heartbeatIntervalS())) {
            recordOverload();
        }
        lastTickAt = now;
        if (isLeader.getAsBoolean()) {
            failedMachineRemoval.run();
            // While requests are queued, scaling runs less often, because worker heartbeats take precedence.
            double sinceLastScalingS = Durations.secondsSince(lastScalingAt, now);
            if (!loop.busy() || sinceLastScalingS > settings.workers().maxDecisionDelayS()) {
                lastScalingAt = now;
                scale();
            }
        }
        scope.after(Durations.nanos(settings.workers().heartbeatIntervalS() / 3), this::tick);
    }

    /** Records that this node is overloaded. It might therefore have received heartbeats that it has not processed. */
    public void recordOverload() {
        failureDetector.recordOverload();
    }

    private void scale() {
        Optional<Plan> plan = lastPlan.get();
        if (plan.isEmpty() || cluster.machineTypes().isEmpty()) {
            return;
        }
        long now = loop.nanos();
        Set<Machine> neededMachines = scaleOut.run(plan.get(), now, loop.wallMillis());
        scaleIn.run(plan.get(), neededMachines, now);
    }

    /**
     * The time since the earliest cancellation of a job whose tasks are not all proven to be stopped, in seconds; 0 if
     * there is no such job.
     */
    public double oldestUnprovenStopS() {
        return failureDetector.oldestUnprovenStopS();
    }
}
