package org.spruceridge.autoscaling;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.Lists;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.cloud.CloudClient;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.BindingReleaser;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Machine;
import org.spruceridge.net.Durations;

/** Requests the deletion of machines from the cloud. A confirmed deletion proves that no task runs on them any more. */
final class ScaleInRequests {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleInRequests.class);

    private final CloudRequestContext context;
    private final Cluster cluster;
    private final BindingReleaser releaser;
    private final Runnable requestSchedulingCycle;
    private final Set<String> deletionsInFlight = new HashSet<>();
    private final Set<String> requestedFailedMachineDeletions = new HashSet<>();

    /** {@code requestSchedulingCycle} is called when a machine has been removed. */
    ScaleInRequests(CloudRequestContext context, BindingReleaser releaser, Runnable requestSchedulingCycle) {
        this.context = context;
        this.cluster = context.cluster();
        this.releaser = releaser;
        this.requestSchedulingCycle = requestSchedulingCycle;
    }

    /**
     * Requests the deletion of {@code machines}, and retries until the cloud confirms the deletion. Does nothing if the
     * list is empty. {@code reason} is logged.
     */
    void delete(List<Machine> machines, String reason) {
        if (machines.isEmpty()) {
            return;
        }
        if (!context.isLeader().getAsBoolean()) {
            // Sends nothing until the leader lease is renewed. If the lease has expired, a new leader might have
            // assigned tasks to the machines.
            context.scope().after(CloudRequestContext.RETRY_INTERVAL_NANOS, () -> delete(machines, reason));
            return;
        }
        List<Machine> notInFlight = new ArrayList<>();
        for (Machine machine : machines) {
            machine.markTerminating();
            if (deletionsInFlight.add(machine.name())) {
                notInFlight.add(machine);
            }
        }
        for (List<Machine> batch : Lists.partition(notInFlight, CloudClient.MAX_DELETE_BATCH)) {
            deleteBatch(batch, reason);
        }
    }

    private void deleteBatch(List<Machine> batch, String reason) {
        List<String> names = batch.stream().map(Machine::name).toList();
        LOG.info("deleting machines machines={} reason={}", names, reason);
        long requestedAt = context.loop().nanos();
        context.cloud().deleteMachines(names, context.scope().guard(confirmed -> {
            names.forEach(deletionsInFlight::remove);
            LOG.info(
                    "machine deletion answered machine={} count={} outcome={} ageS={}",
                    names.get(0),
                    names.size(),
                    confirmed ? "deleted" : "unconfirmed",
                    Durations.secondsSince(requestedAt, context.loop().nanos()));
            if (confirmed) {
                batch.forEach(this::recordDeletion);
            } else {
                context.scope().after(CloudRequestContext.RETRY_INTERVAL_NANOS, () -> delete(batch, reason));
            }
        }));
    }

    /**
     * Requests the deletion of machines that the cloud reports as failed, to remove them from the cloud's list. The
     * deletion of a machine is requested again only if the previous request for the machine was not confirmed.
     */
    void deleteFailedMachines(List<String> failedNames) {
        List<String> newNames = failedNames.stream()
                .filter(requestedFailedMachineDeletions::add)
                .toList();
        for (List<String> batch : Lists.partition(newNames, CloudClient.MAX_DELETE_BATCH)) {
            context.cloud().deleteMachines(batch, context.scope().guard(confirmed -> {
                if (!confirmed) {
                    batch.forEach(requestedFailedMachineDeletions::remove);
                }
            }));
        }
    }

    /**
     * Releases the tasks of a machine and removes it from the cluster. The machine must be proven to no longer exist.
     */
    void recordDeletion(Machine machine) {
        releaseAll(machine);
        cluster.remove(machine);
        requestSchedulingCycle.run();
    }

    /** Releases all tasks of a machine. It must be proven that none of the tasks runs on the machine any more. */
    void releaseAll(Machine machine) {
        for (Binding binding : ImmutableList.copyOf(machine.bindings())) {
            if (binding.stage() == Binding.Stage.ORPHANED) {
                cluster.unbind(binding, context.loop().nanos());
            } else {
                releaser.release(binding, false);
            }
        }
    }
}
