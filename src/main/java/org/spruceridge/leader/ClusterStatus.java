package org.spruceridge.leader;

import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineType;

/** A snapshot of cluster statistics. A machine that has not sent a heartbeat yet is counted only as booting. */
record ClusterStatus(int jobCount, int waitingTaskCount, MachineCounts machines, double usedCpus, double totalCpus) {

    /**
     * Machine counts. An idle or leaving machine is also counted as on-demand or spot. A machine is leaving if it is
     * terminating or unschedulable.
     */
    record MachineCounts(int onDemand, int spot, int booting, int idle, int leaving) {}

    static ClusterStatus of(Cluster cluster) {
        MachineCounter counter = new MachineCounter(cluster);
        cluster.machines().forEach(counter::add);
        int waitingTasks = 0;
        for (Job job : cluster.jobs()) {
            waitingTasks += job.waitingCount();
        }
        return new ClusterStatus(
                cluster.jobs().size(), waitingTasks, counter.counts(), counter.usedCpus, counter.totalCpus);
    }

    private static final class MachineCounter {
        private final Cluster cluster;
        private int onDemand;
        private int spot;
        private int booting;
        private int idle;
        private int leaving;
        private double usedCpus;
        private double totalCpus;

        MachineCounter(Cluster cluster) {
            this.cluster = cluster;
        }

        void add(Machine machine) {
            if (!machine.hasReported()) {
                booting++;
                return;
            }
            if (machine.isSpot()) {
                spot++;
            } else {
                onDemand++;
            }
            if (machine.bindings().isEmpty()) {
                idle++;
            }
            if (machine.isTerminating() || machine.isUnschedulable()) {
                leaving++;
            }
            usedCpus += machine.used().cpus();
            totalCpus += cluster.machineTypeOf(machine)
                    .map(MachineType::capacity)
                    .map(capacity -> capacity.cpus())
                    .orElse(0.0);
        }

        MachineCounts counts() {
            return new MachineCounts(onDemand, spot, booting, idle, leaving);
        }
    }
}
