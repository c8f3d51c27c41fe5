package org.spruceridge.config;

import java.nio.file.Path;

/**
 * The operators' own settings: the weights of the scheduling terms, and the ratios by which timeouts and intervals follow
 * from the platform's settings. Each field is a field of the policy file.
 */
public record Policy(
        Weights weights, Scheduling scheduling, Preemption preemption, Leadership leadership, FleetTimeouts fleet) {

    /** The weights of the design document's terms, and of the terms that were added to them. */
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
     * How scheduling cycles run.
     *
     * @param minCycleIntervalHeartbeats the least time between two cycles, in heartbeat intervals of the workers
     * @param minRemainingTimeS the least remaining time that the scores assume for a task, in seconds
     * @param reservedShare the share of all machines on which capacity may be reserved for large tasks
     * @param targetStartDelayS within which time after its submission each job should have started, in seconds
     */
    public record Scheduling(
            double minCycleIntervalHeartbeats,
            double minRemainingTimeS,
            double reservedShare,
            double targetStartDelayS) {}

    /**
     * How often running tasks are preempted.
     *
     * @param minIntervalPerMachineS the least time between two preemptions on one machine, in seconds
     */
    public record Preemption(double minIntervalPerMachineS) {}

    /**
     * The lease behind the leader key.
     *
     * @param ttlWorkerLeases its time to live, in worker leases
     * @param renewalsPerTtl how often it is renewed within its time to live
     */
    public record Leadership(double ttlWorkerLeases, double renewalsPerTtl) {}

    /**
     * When machines are returned.
     *
     * @param idleTimeoutBoots how long an idle machine of the cheapest kind is kept, in boot times
     * @param bootTimeoutBoots how long a machine may take to come up, in boot times
     * @param silenceTimeoutLeases how long a machine may be silent, in worker leases
     */
    public record FleetTimeouts(double idleTimeoutBoots, double bootTimeoutBoots, double silenceTimeoutLeases) {}

    /** The values that hold without a policy file. */
    public static Policy defaults() {
        return new Policy(
                new Weights(15, 40, 8, 5, 40, 40, 2, 3),
                new Scheduling(0.1, 10, 0.25, 240),
                new Preemption(60),
                new Leadership(0.5, 8),
                new FleetTimeouts(0.25, 4, 0.5));
    }

    /**
     * Reads and checks a policy file; what it leaves out keeps its default.
     *
     * @throws SettingsException if the file cannot be read, or holds an unknown field or an invalid value
     */
    public static Policy load(Path file) {
        return PolicyReader.load(file);
    }
}
