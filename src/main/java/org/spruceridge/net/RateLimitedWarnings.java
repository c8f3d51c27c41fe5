package org.spruceridge.net;

import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Warnings that can occur at a high rate. All warnings are counted, but each kind is logged at most once every 30 s.
 */
public final class RateLimitedWarnings {
    private static final Logger LOG = LoggerFactory.getLogger(RateLimitedWarnings.class);
    private static final long MIN_LOG_INTERVAL_NANOS = Durations.nanos(30);

    private final Loop loop;
    private final Map<String, KindState> statesByKind = new HashMap<>();

    /** Log intervals are measured with the monotonic clock of this loop. */
    public RateLimitedWarnings(Loop loop) {
        this.loop = loop;
    }

    /**
     * Counts a warning, and logs it unless one of the same kind was logged in the last 30 s.
     *
     * @param kind the event, one phrase of a small fixed set
     * @param detail the details, as {@code key=value} pairs
     */
    public void warn(String kind, String detail) {
        KindState state = statesByKind.computeIfAbsent(kind, any -> new KindState());
        state.count++;
        long now = loop.nanos();
        if (state.count == 1 || now - state.loggedAtNanos > MIN_LOG_INTERVAL_NANOS) {
            state.loggedAtNanos = now;
            LOG.warn("{} count={} {}", kind, state.count, detail);
        }
    }

    private static final class KindState {
        private long count;
        private long loggedAtNanos;
    }
}
