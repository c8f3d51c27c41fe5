package org.spruceridge.config;

import org.spruceridge.net.Durations;

/**
 * The time budget of a cancellation: how much of {@code cancel_s} each step may take, from the moment at which a user
 * receives the confirmation until no task of the job can run on any machine. The sums are in docs/safety.md; each must
 * stay below {@code cancel_s}. All times are in seconds.
 */
public record CancellationTimes(double cancelS, double leaseS, double heartbeatIntervalS) {
    /** The share of the budget that is left for late timers, and for the cloud when a machine has to be deleted. */
    private static final double SAFETY_MARGIN_SHARE = 0.1;

    /** So many watches, one after another, fit into the maximum staleness of the view. */
    private static final double WATCHES_PER_MAX_STALENESS = 6;

    /** A stop command is carried out and confirmed within this many heartbeat intervals, or not at all. */
    private static final double STOP_PROOF_HEARTBEATS = 1.5;

    /** The budget that follows from the settings of the workers. */
    public static CancellationTimes of(Settings.Workers workers) {
        return new CancellationTimes(workers.cancelS(), workers.leaseS(), workers.heartbeatIntervalS());
    }

    /** How long a worker may run its tasks after its last answered heartbeat: the lease, with clock drift. */
    public double fullLeaseS() {
        return leaseS * (1 + 2 * Durations.MAX_CLOCK_DRIFT_RATIO);
    }

    /**
     * The maximum age of a leader's view of the cancellations while it answers workers. A job whose cancellation the
     * leader does not know keeps its tasks for that long, and for one lease after the last answer.
     */
    public double maxStalenessS() {
        return Math.min(leaseS, (1 - SAFETY_MARGIN_SHARE) * (cancelS - fullLeaseS()));
    }

    /** How long a watch of the cancellations waits before the state service answers that there was no change. */
    public double watchTimeoutS() {
        return maxStalenessS() / WATCHES_PER_MAX_STALENESS;
    }

    /** After this time a machine on which a stop is not confirmed is deleted, whatever else runs on it. */
    public double unprovenStopTimeoutS() {
        return cancelS / 2;
    }

    /** A machine is not deleted earlier than this after the leader received the cancellation: the stop needs that time. */
    public double stopProofTimeoutS() {
        return STOP_PROOF_HEARTBEATS * heartbeatIntervalS;
    }
}
