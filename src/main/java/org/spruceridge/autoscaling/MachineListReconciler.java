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
 * Reconciles the cluster state with the cloud's machine list. It adds unknown machines, and removes machines that the
 * cloud reports as failed. It keeps machines that are missing from the list, because the list lags behind the actual
 * state.
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

    void reconcile(ImmutableList<CloudMachine> listedMachines) {
        long now = loop.nanos();
        List<String> failedNames = new ArrayList<>();
        for (CloudMachine listed : listedMachines) {
            if (listed.stage() == CloudMachine.Stage.FAILED) {
                removeFailedMachine(listed);
                failedNames.add(listed.name());
            } else {
                addOrUpdate(listed, now);
            }
        }
        scaleInRequests.deleteFailedMachines(failedNames);
    }

    private void removeFailedMachine(CloudMachine listed) {
        Machine machine = cluster.machine(listed.name());
        if (machine != null) {
            LOG.info("machine failed machine={}", machine.name());
            scaleInRequests.recordDeletion(machine);
        }
    }

    private void addOrUpdate(CloudMachine listed, long now) {
        Machine machine = cluster.machine(listed.name());
        if (machine == null && !cluster.wasRemoved(listed.name())) {
            MachineKind kind = new MachineKind(listed.type(), listed.zone(), listed.spot());
            machine = new Machine(listed.name(), listed.address(), kind, now, now);
            cluster.add(machine);
        }
        if (machine != null) {
            machine.launchedAt(Math.min(machine.launchedAt(), now - Durations.nanos(listed.ageS())));
        }
    }
}
