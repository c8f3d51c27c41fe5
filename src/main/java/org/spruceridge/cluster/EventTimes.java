package org.spruceridge.cluster;

/**
 * How the fields of this package store the time of an event that may not have happened. They are primitive numbers,
 * because heartbeats update them; other packages see predicates instead of the value.
 */
final class EventTimes {
    /** Stored for an event that has not happened; later than every time on the steady clock. */
    static final long NOT_HAPPENED = Long.MAX_VALUE;

    private EventTimes() {}

    static boolean hasHappened(long timeNanos) {
        return timeNanos != NOT_HAPPENED;
    }
}
