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

/** Gives machines back to the cloud. A deletion that was answered proves that nothing is left on them. */
final class MachineReturns {
    private static final Logger LOG = LoggerFactory.getLogger(MachineReturns.class);

    private final CloudAccess access;
    private final Cluster cluster;
    private final BindingReleaser releaser;
    private final Runnable changed;
    private final Set<String> deleting = new HashSet<>();
    private final Set<String> unlisted = new HashSet<>();

    /** {@code changed} asks for a scheduling cycle. */
    MachineReturns(CloudAccess access, BindingReleaser releaser, Runnable changed) {
        this.access = access;
        this.cluster = access.cluster();
        this.releaser = releaser;
        this.changed = changed;
    }

    /** Gives machines back, if there are any, and says why. */
    void delete(List<Machine> machines, String why) {
        if (machines.isEmpty()) {
            return;
        }
        if (!access.leads().getAsBoolean()) {
            // Tried again after the grant is over: another may lead by now, and have given the machine work.
            access.scope().after(CloudAccess.RETRY, () -> delete(machines, why));
            return;
        }
        List<Machine> fresh = new ArrayList<>();
        for (Machine m : machines) {
            m.markTerminating();
            if (deleting.add(m.name())) {
                fresh.add(m);
            }
        }
        for (List<Machine> part : Lists.partition(fresh, CloudClient.MOST_DELETED)) {
            deletePart(part, why);
        }
    }

    private void deletePart(List<Machine> part, String why) {
        List<String> names = part.stream().map(Machine::name).toList();
        LOG.info("returning {}: {}", names, why);
        long asked = access.loop().nanos();
        access.cloud().delete(names, access.scope().guard(ok -> {
            names.forEach(deleting::remove);
            LOG.info(
                    "{} machines, {} the first: the cloud {} after {} s",
                    names.size(),
                    names.get(0),
                    ok ? "has deleted them" : "did not confirm the deletion",
                    Durations.secondsSince(asked, access.loop().nanos()));
            if (ok) {
                part.forEach(this::gone);
            } else {
                access.scope().after(CloudAccess.RETRY, () -> delete(part, why));
            }
        }));
    }

    /** Has machines that failed taken off the cloud's list, each once. */
    void unlist(List<String> failed) {
        List<String> fresh = failed.stream().filter(unlisted::add).toList();
        for (List<String> part : Lists.partition(fresh, CloudClient.MOST_DELETED)) {
            access.cloud().delete(part, access.scope().guard(ok -> {
                if (!ok) {
                    part.forEach(unlisted::remove);
                }
            }));
        }
    }

    /** There is proof that the machine is gone, with everything on it. */
    void gone(Machine m) {
        releaseAll(m);
        cluster.remove(m);
        changed.run();
    }

    /** There is proof that nothing is left on the machine. */
    void releaseAll(Machine m) {
        for (Binding b : ImmutableList.copyOf(m.bindings())) {
            if (b.stage() == Binding.Stage.ORPHANED) {
                cluster.unbind(b, access.loop().nanos());
            } else {
                releaser.release(b, false);
            }
        }
    }
}
