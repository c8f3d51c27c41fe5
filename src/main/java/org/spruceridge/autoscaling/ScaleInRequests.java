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

/** Deletes machines at the cloud. A confirmed deletion proves that no task is left on them. */
final class ScaleInRequests {
    private static final Logger LOG = LoggerFactory.getLogger(ScaleInRequests.class);

    private final CloudAccess access;
    private final Cluster cluster;
    private final BindingReleaser releaser;
    private final Runnable changed;
    private final Set<String> deleting = new HashSet<>();
    private final Set<String> removedFromList = new HashSet<>();

    /** {@code changed} asks for a scheduling cycle. */
    ScaleInRequests(CloudAccess access, BindingReleaser releaser, Runnable changed) {
        this.access = access;
        this.cluster = access.cluster();
        this.releaser = releaser;
        this.changed = changed;
    }

    /** Requests the deletion of machines, if there are any; {@code reason} is logged. */
    void delete(List<Machine> machines, String reason) {
        if (machines.isEmpty()) {
            return;
        }
        if (!access.leads().getAsBoolean()) {
            // Retried only if the lease is renewed: otherwise another leader may have given the machines tasks by now.
            access.scope().after(CloudAccess.RETRY_INTERVAL_NANOS, () -> delete(machines, reason));
            return;
        }
        List<Machine> notRequested = new ArrayList<>();
        for (Machine machine : machines) {
            machine.markTerminating();
            if (deleting.add(machine.name())) {
                notRequested.add(machine);
            }
        }
        for (List<Machine> batch : Lists.partition(notRequested, CloudClient.MAX_DELETE_BATCH)) {
            deleteBatch(batch, reason);
        }
    }

    private void deleteBatch(List<Machine> batch, String reason) {
        List<String> names = batch.stream().map(Machine::name).toList();
        LOG.info("deleting machines machines={} reason={}", names, reason);
        long requestedAt = access.loop().nanos();
        access.cloud().delete(names, access.scope().guard(confirmed -> {
            names.forEach(deleting::remove);
            LOG.info(
                    "machine deletion answered machine={} count={} outcome={} ageS={}",
                    names.get(0),
                    names.size(),
                    confirmed ? "deleted" : "unconfirmed",
                    Durations.secondsSince(requestedAt, access.loop().nanos()));
            if (confirmed) {
                batch.forEach(this::recordDeletion);
            } else {
                access.scope().after(CloudAccess.RETRY_INTERVAL_NANOS, () -> delete(batch, reason));
            }
        }));
    }

    /** Deletes machines that the cloud reports as failed from its list, each once. */
    void removeFromList(List<String> failed) {
        List<String> notRequested = failed.stream().filter(removedFromList::add).toList();
        for (List<String> batch : Lists.partition(notRequested, CloudClient.MAX_DELETE_BATCH)) {
            access.cloud().delete(batch, access.scope().guard(confirmed -> {
                if (!confirmed) {
                    batch.forEach(removedFromList::remove);
                }
            }));
        }
    }

    /** Removes a machine that is proven not to exist any more, and releases its tasks. */
    void recordDeletion(Machine machine) {
        releaseAll(machine);
        cluster.remove(machine);
        changed.run();
    }

    /** Releases all tasks of a machine on which they are proven not to run. */
    void releaseAll(Machine machine) {
        for (Binding binding : ImmutableList.copyOf(machine.bindings())) {
            if (binding.stage() == Binding.Stage.ORPHANED) {
                cluster.unbind(binding, access.loop().nanos());
            } else {
                releaser.release(binding, false);
            }
        }
    }
}
