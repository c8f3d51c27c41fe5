package org.spruceridge.cluster;

/**
 * The representation of the time of an event that may not have happened. Such fields are primitives because heartbeats
 * update them. Other packages use predicates instead of the sentinel value.
 */
final class EventTimes {
    /** The time of an event that has not happened; later than every time on the monotonic clock. */
    static final long NOT_HAPPENED = Long.MAX_VALUE;

    private EventTimes() {}

    static boolean hasHappened(long timeNanos) {
        return timeNanos != NOT_HAPPENED;
    }
}
