package org.spruceridge.config;

import org.spruceridge.net.Durations;

/**
 * The time budget of a cancellation: the time allowed for each step, from the moment at which a user receives the
 * confirmation until no task of the job can run on any machine. The sums of the steps are in docs/safety.md; each sum
 * must stay below {@code cancel_s}. All times are in seconds.
 */
public record CancellationTimes(double cancelS, double leaseS, double heartbeatIntervalS) {
    /** The share of the budget reserved for late timers, and for the cloud if a machine has to be deleted. */
    private static final double SAFETY_MARGIN_SHARE = 0.1;

    /** The number of consecutive watches that fit into the maximum staleness of the view. */
    private static final double WATCHES_PER_MAX_STALENESS = 6;

    /** A stop command is executed and confirmed within this many heartbeat intervals, or not at all. */
    private static final double STOP_PROOF_HEARTBEATS = 1.5;

    /** The budget that results from the settings of the workers. */
    public static CancellationTimes of(Settings.Workers workers) {
        return new CancellationTimes(workers.cancelS(), workers.leaseS(), workers.heartbeatIntervalS());
    }

    /** The maximum time a worker may run its tasks after its last answered heartbeat: the lease, with clock drift. */
    public double fullLeaseS() {
        return leaseS * (1 + 2 * Durations.MAX_CLOCK_DRIFT_RATIO);
    }

    /**
     * The maximum age of a leader's view of the cancellations while it answers workers. Tasks of a job whose
     * cancellation has not reached the leader can run for that long, and for one more lease after the last response.
     */
    public double maxStalenessS() {
        return Math.min(leaseS, (1 - SAFETY_MARGIN_SHARE) * (cancelS - fullLeaseS()));
    }

    /** The time after which the state service answers a watch of the cancellations that there was no change. */
    public double watchTimeoutS() {
        return maxStalenessS() / WATCHES_PER_MAX_STALENESS;
    }

    /** The time after which a machine with an unconfirmed stop is deleted, even if other tasks run on it. */
    public double unprovenStopTimeoutS() {
        return cancelS / 2;
    }

    /**
     * The minimum time between the receipt of a cancellation by the leader and the deletion of a machine, because the
     * stop needs that time.
     */
    public double stopProofTimeoutS() {
        return STOP_PROOF_HEARTBEATS * heartbeatIntervalS;
    }
}
