package org.spruceridge.config;

import org.spruceridge.net.Durations;

/**
 * What of {@code cancel_s} each step may take, from the moment at which a user is told of a cancellation to the last at
 * which a task of the job can be on a machine. docs/safety.md has the sums; each must stay below {@code cancel_s}.
 */
public record CancellationTimes(double cancelS, double leaseS, double heartbeatIntervalS) {
    /** What is left for late timers, and for the cloud where a machine has to go. */
    private static final double SAFETY_MARGIN_SHARE = 0.1;

    /** A watch is asked again this many times while what it brought still counts. */
    private static final double WATCHES_PER_MAX_STALENESS = 6;

    /** An order that is given is carried out, and its proof heard, within this many report periods or not at all. */
    private static final double STOP_PROOF_HEARTBEATS = 1.5;

    /** The times that follow from the workers' settings. */
    public static CancellationTimes of(Settings.Workers workers) {
        return new CancellationTimes(workers.cancelS(), workers.leaseS(), workers.heartbeatIntervalS());
    }

    /** How long a worker's tasks may outlive the last report of it that was answered. */
    public double fullLeaseS() {
        return leaseS * (1 + 2 * Durations.MAX_CLOCK_DRIFT_RATIO);
    }

    /**
     * How old a leader's knowledge of cancellations may be while it answers workers. A job that is cancelled behind its
     * back keeps its tasks for so long, and for a lease from the last answer.
     */
    public double maxStalenessS() {
        return Math.min(leaseS, (1 - SAFETY_MARGIN_SHARE) * (cancelS - fullLeaseS()));
    }

    /** How long a watch of the cancellations waits before it says that there was none. */
    public double watchTimeoutS() {
        return maxStalenessS() / WATCHES_PER_MAX_STALENESS;
    }

    /** After this time a machine on which a stop is not proven is given back, whatever else is on it. */
    public double unprovenStopTimeoutS() {
        return cancelS / 2;
    }

    /** But not before a leader that has just heard of the cancellation has had time to order the stop. */
    public double stopProofTimeoutS() {
        return STOP_PROOF_HEARTBEATS * heartbeatIntervalS;
    }
}
