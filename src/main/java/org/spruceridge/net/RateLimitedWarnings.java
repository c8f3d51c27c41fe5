package org.spruceridge.net;

import java.util.HashMap;
import java.util.Map;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Counts what cannot be read or should not be, and logs each kind once in a while. */
public final class RateLimitedWarnings {
    private static final Logger LOG = LoggerFactory.getLogger(RateLimitedWarnings.class);
    private static final long QUIET_NANOS = Durations.nanos(30);

    private final Loop loop;
    private final Map<String, Kind> kinds = new HashMap<>();

    /** Time is that of the loop. */
    public RateLimitedWarnings(Loop loop) {
        this.loop = loop;
    }

    /** Notes one; {@code kind} comes from a small fixed set. */
    public void warn(String kind, String detail) {
        Kind seen = kinds.computeIfAbsent(kind, k -> new Kind());
        seen.count++;
        long now = loop.nanos();
        if (seen.count == 1 || now - seen.loggedAt > QUIET_NANOS) {
            seen.loggedAt = now;
            LOG.warn("{} ({} so far): {}", kind, seen.count, detail);
        }
    }

    private static final class Kind {
        private long count;
        private long loggedAt;
    }
}
