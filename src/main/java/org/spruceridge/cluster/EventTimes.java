package org.spruceridge.cluster;

/**
 * Represents the time of an event that has possibly not happened by a {@code long} with a sentinel value. The fields
 * are primitives because heartbeats update them. Other packages use predicates instead of the sentinel value.
 */
final class EventTimes {
    /** The sentinel value for an event that has not happened. It is later than every time on the monotonic clock. */
    static final long NOT_HAPPENED = Long.MAX_VALUE;

    private EventTimes() {}

    static boolean hasHappened(long timeNanos) {
        return timeNanos != NOT_HAPPENED;
    }
}
