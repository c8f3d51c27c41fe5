package org.spruceridge.leader;

import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineType;

/**
 * Figures of the cluster at one moment. Machines that have not sent a heartbeat yet are counted as booting and in no
 * other figure.
 */
record ClusterStatus(int jobs, int waitingTasks, MachineCounts machines, double usedCpus, double totalCpus) {

    /** Numbers of machines. Idle and leaving ones are counted among the on-demand and spot machines too. */
    record MachineCounts(int onDemand, int spot, int booting, int idle, int leaving) {}

    static ClusterStatus of(Cluster cluster) {
        Counter counter = new Counter(cluster);
        cluster.machines().forEach(counter::add);
        int waitingTasks = 0;
        for (Job job : cluster.jobs()) {
            waitingTasks += job.waiting();
        }
        return new ClusterStatus(
                cluster.jobs().size(), waitingTasks, counter.machines(), counter.usedCpus, counter.totalCpus);
    }

    private static final class Counter {
        private final Cluster cluster;
        private int onDemand;
        private int spot;
        private int booting;
        private int idle;
        private int leaving;
        private double usedCpus;
        private double totalCpus;

        Counter(Cluster cluster) {
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
            totalCpus += cluster.typeOf(machine)
                    .map(MachineType::capacity)
                    .map(capacity -> capacity.cpus())
                    .orElse(0.0);
        }

        MachineCounts machines() {
            return new MachineCounts(onDemand, spot, booting, idle, leaving);
        }
    }
}
