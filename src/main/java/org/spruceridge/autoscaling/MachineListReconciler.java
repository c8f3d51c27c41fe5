package org.spruceridge.autoscaling;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.cloud.CloudMachine;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;

/**
 * Reconciles the cluster state with the cloud's list of machines: adds those that are not known, and removes those that the
 * cloud reports as failed. The list lags, so a machine that it lacks is not removed.
 */
final class MachineListReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(MachineListReconciler.class);

    private final Loop loop;
    private final Cluster cluster;
    private final ScaleInRequests scaleInRequests;

    MachineListReconciler(Loop loop, Cluster cluster, ScaleInRequests scaleInRequests) {
        this.loop = loop;
        this.cluster = cluster;
        this.scaleInRequests = scaleInRequests;
    }

    void reconcile(ImmutableList<CloudMachine> listed) {
        long now = loop.nanos();
        List<String> failed = new ArrayList<>();
        for (CloudMachine host : listed) {
            if (host.stage() == CloudMachine.Stage.FAILED) {
                removeFailed(host);
                failed.add(host.name());
            } else {
                addOrUpdate(host, now);
            }
        }
        scaleInRequests.removeFromList(failed);
    }

    private void removeFailed(CloudMachine host) {
        Machine machine = cluster.machine(host.name());
        if (machine != null) {
            LOG.info("machine failed machine={}", machine.name());
            scaleInRequests.recordDeletion(machine);
        }
    }

    private void addOrUpdate(CloudMachine host, long now) {
        Machine machine = cluster.machine(host.name());
        if (machine == null && !cluster.wasRemoved(host.name())) {
            MachineKind kind = new MachineKind(host.type(), host.zone(), host.spot());
            machine = new Machine(host.name(), host.address(), kind, now, now);
            cluster.add(machine);
        }
        if (machine != null) {
            machine.launchedAt(Math.min(machine.launchedAt(), now - Durations.nanos(host.ageS())));
        }
    }
}
