package org.spruceridge.net;

/**
 * Detects that the event loop did not run for a while, for example because the process was stopped or lacked CPU time.
 * After such a pause, the messages that arrived meanwhile are handled late, so what a component has learned until then
 * might be old. All times are nanoseconds on the monotonic clock.
 */
public final class PauseDetector {
    private static final long CHECK_INTERVAL_NANOS = Durations.millis(250);
    /** A longer time between two checks counts as a pause. */
    private static final long MAX_CHECK_DELAY_NANOS = Durations.nanos(1);
    /** The time after a pause within which messages are handled that arrived during the pause. */
    private static final long CATCH_UP_NANOS = Durations.nanos(1);

    private final Loop loop;
    private final CancellationScope scope;
    private long lastCheck;
    private long attentiveSince;

    /** Creates a detector that checks until the scope is closed, starting with {@link #start}. */
    public PauseDetector(Loop loop, CancellationScope scope) {
        this.loop = loop;
        this.scope = scope;
        this.lastCheck = loop.nanos();
        this.attentiveSince = lastCheck;
    }

    /** Starts the periodic checks. */
    public void start() {
        check();
        scope.after(CHECK_INTERVAL_NANOS, this::start);
    }

    /**
     * The time since which each message has been handled soon after its arrival. The time lies in the future right after
     * a pause.
     */
    public long attentiveSince() {
        check();
        return attentiveSince;
    }

    private void check() {
        long now = loop.nanos();
        if (now - lastCheck > MAX_CHECK_DELAY_NANOS) {
            attentiveSince = now + CATCH_UP_NANOS;
        }
        lastCheck = now;
    }
}
