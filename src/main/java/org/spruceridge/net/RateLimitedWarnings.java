package org.spruceridge.net;

import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Warnings that may come in floods: every one is counted, and each kind is logged at most once in 30 s. */
public final class RateLimitedWarnings {
    private static final Logger LOG = LoggerFactory.getLogger(RateLimitedWarnings.class);
    private static final long MIN_LOG_INTERVAL_NANOS = Durations.nanos(30);

    private final Loop loop;
    private final Map<String, Kind> kinds = new HashMap<>();

    /** Intervals are measured by the loop's monotonic clock. */
    public RateLimitedWarnings(Loop loop) {
        this.loop = loop;
    }

    /**
     * Counts a warning, and logs it unless one of its kind was logged lately.
     *
     * @param kind what happened, one phrase of a small fixed set
     * @param detail the particulars, as {@code key=value} pairs
     */
    public void warn(String kind, String detail) {
        Kind seen = kinds.computeIfAbsent(kind, any -> new Kind());
        seen.count++;
        long now = loop.nanos();
        if (seen.count == 1 || now - seen.loggedAt > MIN_LOG_INTERVAL_NANOS) {
            seen.loggedAt = now;
            LOG.warn("{} count={} {}", kind, seen.count, detail);
        }
    }

    private static final class Kind {
        private long count;
        private long loggedAt;
    }
}
