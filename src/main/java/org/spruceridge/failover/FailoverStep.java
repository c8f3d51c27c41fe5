package org.spruceridge.failover;

/** A completed step of a failover, with statistics for the log. */
public sealed interface FailoverStep {
    /** The duration of the step in nanoseconds. */
    long durationNanos();

    /** The keys under a prefix were listed. */
    record ListingRead(String prefix, int entries, long bytes, long durationNanos) implements FailoverStep {}

    /**
     * The records of cancelled jobs that still have bound tasks were read.
     *
     * @param oldestAgeS the seconds since the earliest of these cancellations, 0 if there is none
     */
    record CancelledJobsRead(int jobs, double oldestAgeS, long durationNanos) implements FailoverStep {}
}
