package org.spruceridge.net;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** How long things take, in histograms since the start of the process; logged once in a while and read on request. */
public final class Latencies {
    /** What is timed. */
    public enum Kind {
        /** From a submission, poll or cancellation to its answer. */
        USERS,
        /** From a report to its answer. */
        HEARTBEATS,
        /** From a call of the state service to its answer, the wait for a turn not counted. */
        STATE,
        /** One placement cycle. */
        SCHEDULING_CYCLES,
        /** From a binding's proposal to its record. */
        COMMITS
    }

    private static final Logger LOG = LoggerFactory.getLogger(Latencies.class);
    private static final long LONGEST_MICROS = TimeUnit.MINUTES.toMicros(2);
    private static final int DIGITS = 2;
    private static final long EVERY = Durations.nanos(120);

    private final CancellationScope scope;
    private final Map<Kind, Histogram> histograms = new EnumMap<>(Kind.class);

    /** The log line is written by a timer of this loop. */
    public Latencies(Loop loop) {
        this.scope = new CancellationScope(loop);
        for (Kind kind : Kind.values()) {
            histograms.put(kind, new Histogram(LONGEST_MICROS, DIGITS));
        }
    }

    /** Begins to log once in a while. */
    public void start() {
        scope.after(EVERY, this::log);
    }

    /** Ceases to log. */
    public void stop() {
        scope.close();
    }

    /** Counts one duration in. */
    public void record(Kind kind, long nanos) {
        histograms.get(kind).recordValue(Math.min(LONGEST_MICROS, Math.max(0, nanos / 1000)));
    }

    /** Counts and percentiles in milliseconds, by kind. */
    public ObjectNode toJson() {
        ObjectNode out = Json.object();
        histograms.forEach((kind, h) -> out.putObject(kind.name().toLowerCase(java.util.Locale.ROOT))
                .put("count", h.getTotalCount())
                .put("p50Ms", h.getValueAtPercentile(50) / 1000.0)
                .put("p99Ms", h.getValueAtPercentile(99) / 1000.0)
                .put("maxMs", h.getMaxValue() / 1000.0));
        return out;
    }

    private void log() {
        StringBuilder line = new StringBuilder();
        histograms.forEach((kind, h) -> line.append(String.format(
                "%s%s %d: p50 %.1f, p99 %.1f, max %.1f ms",
                line.isEmpty() ? "" : "; ",
                kind.name().toLowerCase(java.util.Locale.ROOT),
                h.getTotalCount(),
                h.getValueAtPercentile(50) / 1000.0,
                h.getValueAtPercentile(99) / 1000.0,
                h.getMaxValue() / 1000.0)));
        LOG.info("{}", line);
        scope.after(EVERY, this::log);
    }
}
