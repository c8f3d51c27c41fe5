package org.spruceridge.config;

import java.nio.file.Path;

/**
 * The operators' own settings: the weights of the scheduling terms, and the ratios from which timeouts and intervals
 * are calculated with the platform's settings. Each component corresponds to a field of the policy file.
 */
public record Policy(
        Weights weights, Scheduling scheduling, Preemption preemption, Leadership leadership, FleetTimeouts fleet) {

    /**
     * The weights of the scheduling terms that the design document defines, and of the terms that were added to them.
     */
    public record Weights(
            double deadline,
            double overhead,
            double waiting,
            double aging,
            double starvation,
            double availability,
            double spotPreference,
            double packing) {}

    /**
     * The parameters of scheduling cycles.
     *
     * @param minCycleIntervalHeartbeats the minimum time between two cycles, in heartbeat intervals of the workers
     * @param minRemainingTimeS the minimum remaining time that the scores assume for a task, in seconds
     * @param reservedShare the share of all machines on which capacity may be reserved for large tasks
     * @param targetStartDelayS the time from submission within which each job should start, in seconds
     */
    public record Scheduling(
            double minCycleIntervalHeartbeats,
            double minRemainingTimeS,
            double reservedShare,
            double targetStartDelayS) {}

    /**
     * The limit on the preemption of running tasks.
     *
     * @param minIntervalPerMachineS the minimum time between two preemptions on one machine, in seconds
     */
    public record Preemption(double minIntervalPerMachineS) {}

    /**
     * The lease that the leader key is bound to.
     *
     * @param ttlWorkerLeases the time to live of the lease, in worker leases
     * @param renewalsPerTtl the number of renewals within the time to live
     */
    public record Leadership(double ttlWorkerLeases, double renewalsPerTtl) {}

    /**
     * The timeouts after which machines are deleted.
     *
     * @param idleTimeoutBoots the time for which an idle machine of the cheapest kind is kept, in boot times
     * @param bootTimeoutBoots the maximum time for a machine to boot, in boot times
     * @param silenceTimeoutLeases the time without a heartbeat after which a machine is considered dead, in worker
     *     leases
     */
    public record FleetTimeouts(double idleTimeoutBoots, double bootTimeoutBoots, double silenceTimeoutLeases) {}

    /** Returns the policy that applies if no policy file is given. */
    public static Policy defaults() {
        return new Policy(
                new Weights(15, 40, 8, 5, 40, 40, 2, 3),
                new Scheduling(0.1, 10, 0.25, 240),
                new Preemption(60),
                new Leadership(0.5, 8),
                new FleetTimeouts(0.25, 4, 0.5));
    }

    /**
     * Reads and checks a policy file; omitted fields keep their defaults.
     *
     * @throws SettingsException if the file cannot be read, or contains an unknown field or an invalid value
     */
    public static Policy load(Path file) {
        return PolicyReader.load(file);
    }
}
