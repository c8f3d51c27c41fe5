package org.spruceridge.cluster;

/**
 * The leader's view of the fencing token of one worker: whether the worker has accepted a token of this term, and
 * whether the leader has raised the token. All times are nanoseconds on the monotonic clock.
 */
public final class WorkerFencing {
    private boolean fenced;
    private long firstUnacceptedResponse = EventTimes.NOT_HAPPENED;
    private long raisedToken;
    private long raisedAt = EventTimes.NOT_HAPPENED;

    WorkerFencing() {}

    /** True once a heartbeat has contained a fencing token of this term. The worker then rejects older leaders. */
    public boolean isFenced() {
        return fenced;
    }

    /** Records that an accepted heartbeat contained a fencing token of this term. */
    public void fence() {
        fenced = true;
    }

    /**
     * Records that a heartbeat is answered; the response contains a fencing token of this term. {@code tokenAccepted}
     * is true if the heartbeat itself contained one.
     */
    public void recordResponse(long now, boolean tokenAccepted) {
        firstUnacceptedResponse = tokenAccepted ? EventTimes.NOT_HAPPENED : Math.min(firstUnacceptedResponse, now);
    }

    /**
     * True if a fencing token of this term was sent longer ago than the timeout and no heartbeat has contained one
     * since then.
     */
    public boolean isOverdue(long now, long timeoutNanos) {
        return now - firstUnacceptedResponse > timeoutNanos;
    }

    /** The fencing token to which this leader raised the worker's token; 0 if it has not raised the token. */
    public long raisedToken() {
        return raisedToken;
    }

    /** Records that all further commands and responses to the worker contain this higher fencing token. */
    public void raise(long token, long now) {
        raisedToken = token;
        raisedAt = now;
    }

    /** True if the token was raised within the last {@code durationNanos}. */
    public boolean wasRaisedWithin(long durationNanos, long now) {
        return EventTimes.hasHappened(raisedAt) && now - raisedAt <= durationNanos;
    }

    void endIncarnation() {
        fenced = false;
        firstUnacceptedResponse = EventTimes.NOT_HAPPENED;
    }
}
