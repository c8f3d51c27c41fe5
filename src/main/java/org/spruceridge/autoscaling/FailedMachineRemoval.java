package org.spruceridge.autoscaling;

import java.util.Comparator;
import java.util.List;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Machine;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;

/**
 * Handles the failures that the failure detector finds. It releases the tasks of machines with expired leases. It
 * deletes machines that are dead or whose stops are overdue.
 */
final class FailedMachineRemoval {
    private static final Logger LOG = LoggerFactory.getLogger(FailedMachineRemoval.class);

    private final Loop loop;
    private final FailureDetector failureDetector;
    private final ScaleInRequests scaleInRequests;

    FailedMachineRemoval(Loop loop, FailureDetector failureDetector, ScaleInRequests scaleInRequests) {
        this.loop = loop;
        this.failureDetector = failureDetector;
        this.scaleInRequests = scaleInRequests;
    }

    void run() {
        releaseTasksOfMachinesWithExpiredLease();
        deleteDeadMachines();
    }

    private void releaseTasksOfMachinesWithExpiredLease() {
        for (Machine machine : failureDetector.findMachinesWithExpiredLease()) {
            LOG.info(
                    "machine lease expired, its tasks are released machine={} count={}",
                    machine.name(),
                    machine.bindings().size());
            machine.endIncarnation();
            scaleInRequests.releaseAll(machine);
        }
    }

    /**
     * Deletes machines that are declared dead or whose stops are overdue. A confirmed deletion proves that the tasks of
     * a machine no longer run.
     */
    private void deleteDeadMachines() {
        List<Machine> machinesWithOverdueStops = failureDetector.findMachinesWithOverdueStop();
        machinesWithOverdueStops.stream()
                .filter(machine -> !machine.isTerminating())
                .forEach(this::logOldestOverdueStop);
        scaleInRequests.delete(machinesWithOverdueStops, "stop-overdue");
        scaleInRequests.delete(failureDetector.findDeadMachines(), "declared-dead");
    }

    private void logOldestOverdueStop(Machine machine) {
        long now = loop.nanos();
        machine.bindings().stream()
                .filter(binding -> binding.job().isCancelled())
                .min(Comparator.comparingLong(binding -> binding.job().cancelledAt()))
                .ifPresent(binding -> logOverdueStop(machine, binding, now));
    }

    private static void logOverdueStop(Machine machine, Binding binding, long now) {
        LOG.info(
                "stop overdue task={} attempt={} machine={} phase={} cancelledAgeS={} learnedAgeS={} heartbeatAgeS={}",
                binding.task(),
                binding.attempt(),
                machine.name(),
                binding.phase(),
                Durations.secondsSince(binding.job().cancelledAt(), now),
                Durations.secondsSince(binding.job().cancellationLearnedAt(), now),
                Durations.secondsSince(machine.lease().lastHeartbeat(), now));
    }
}
