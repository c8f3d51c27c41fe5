package org.spruceridge.failover;

/** A completed step of a failover, with statistics for the log. */
public sealed interface FailoverStep {
    /** The duration of the step in nanoseconds. */
    long durationNanos();

    /** The entries under a key prefix were listed; {@code bytes} is the size of the listing. */
    record ListingRead(String prefix, int entryCount, long bytes, long durationNanos) implements FailoverStep {}

    /**
     * The records of cancelled jobs that still have bound tasks were read.
     *
     * @param oldestAgeS the time since the earliest of these cancellations, in seconds; 0 if there are none
     */
    record CancelledJobsRead(int jobCount, double oldestAgeS, long durationNanos) implements FailoverStep {}
}
