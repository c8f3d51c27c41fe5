package org.spruceridge.config;

import org.spruceridge.net.Durations;

/**
 * The time budget of a cancellation: the time allowed for each of its steps. The budget starts when a user receives the
 * confirmation and ends when no task of the job can run on any machine. The sums of the steps are in docs/safety.md;
 * each sum must stay below {@code cancel_s}. All times are in seconds.
 */
public record CancellationTimes(double cancelS, double leaseS, double heartbeatIntervalS) {
    /** The share of the budget that is reserved for late timers, and for the cloud if it has to delete a machine. */
    private static final double SAFETY_MARGIN_SHARE = 0.1;

    /** The number of consecutive watches of the cancellations that fit into {@link #maxStalenessS}. */
    private static final double WATCHES_PER_MAX_STALENESS = 6;

    /** The number of heartbeat intervals within which a stop command is executed and confirmed, if ever. */
    private static final double STOP_PROOF_HEARTBEATS = 1.5;

    /** Returns the budget for the settings of the workers. */
    public static CancellationTimes of(Settings.Workers workers) {
        return new CancellationTimes(workers.cancelS(), workers.leaseS(), workers.heartbeatIntervalS());
    }

    /**
     * The maximum time for which a worker may run its tasks after its last answered heartbeat: one lease, prolonged by
     * the maximum clock drift.
     */
    public double leaseWithClockDriftS() {
        return leaseS * (1 + 2 * Durations.MAX_CLOCK_DRIFT_RATIO);
    }

    /**
     * The maximum age of the leader's view of the cancellations while the leader answers workers. A leader that a
     * cancellation has not reached answers workers for up to this time. Tasks of the cancelled job can then run for one
     * more lease after the last response.
     */
    public double maxStalenessS() {
        return Math.min(leaseS, (1 - SAFETY_MARGIN_SHARE) * (cancelS - leaseWithClockDriftS()));
    }

    /**
     * The time after which the state service ends a watch of the cancellations by reporting that nothing has changed.
     */
    public double watchTimeoutS() {
        return maxStalenessS() / WATCHES_PER_MAX_STALENESS;
    }

    /**
     * The time from a cancellation to the deletion of a machine on which a stop is unconfirmed: no heartbeat has shown
     * yet that the cancelled task has stopped. The machine is deleted even if other tasks run on it.
     */
    public double unprovenStopTimeoutS() {
        return cancelS / 2;
    }

    /**
     * The minimum time from the receipt of a cancellation by the leader to the deletion of a machine. A stop command
     * needs this time to be executed and confirmed.
     */
    public double stopProofTimeoutS() {
        return STOP_PROOF_HEARTBEATS * heartbeatIntervalS;
    }
}
