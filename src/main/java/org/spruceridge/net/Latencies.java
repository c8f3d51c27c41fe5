package org.spruceridge.net;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Latency histograms since the start of the process. They are logged periodically and returned by {@code GET /metrics}.
 */
public final class Latencies {
    /** The measured operations; their names in lower case are keys of {@code GET /metrics}. */
    public enum Kind {
        /** The time from a user's submission, poll or cancellation to its response. */
        USERS,
        /** The time from a worker's heartbeat to its response. */
        HEARTBEATS,
        /** The time from a call of the state service to its response, excluding the wait in the rate limiter. */
        STATE,
        /** The duration of one scheduling cycle. */
        SCHEDULING_CYCLES,
        /** The time from the proposal of a binding to its commit. */
        COMMITS
    }

    private static final Logger LOG = LoggerFactory.getLogger(Latencies.class);
    private static final long MAX_RECORDED_MICROS = TimeUnit.MINUTES.toMicros(2);
    private static final int SIGNIFICANT_DIGITS = 2;
    private static final long LOG_INTERVAL_NANOS = Durations.nanos(120);

    private final CancellationScope scope;
    private final Map<Kind, Histogram> histograms = new EnumMap<>(Kind.class);

    /** Creates empty histograms. The periodic log line is scheduled on this loop. */
    public Latencies(Loop loop) {
        this.scope = new CancellationScope(loop);
        for (Kind kind : Kind.values()) {
            histograms.put(kind, new Histogram(MAX_RECORDED_MICROS, SIGNIFICANT_DIGITS));
        }
    }

    /** Starts the periodic log line. */
    public void start() {
        scope.after(LOG_INTERVAL_NANOS, this::log);
    }

    /** Stops the periodic log line. */
    public void stop() {
        scope.close();
    }

    /** Records one duration in nanoseconds; durations over 2 minutes count as 2 minutes. */
    public void record(Kind kind, long nanos) {
        histograms.get(kind).recordValue(Math.min(MAX_RECORDED_MICROS, Math.max(0, nanos / 1000)));
    }

    /** The count, percentiles and maximum of each kind; latencies are in milliseconds. */
    public ObjectNode toJson() {
        ObjectNode json = Json.object();
        histograms.forEach((kind, histogram) -> json.putObject(key(kind))
                .put("count", histogram.getTotalCount())
                .put("p50Ms", millisAt(histogram, 50))
                .put("p99Ms", millisAt(histogram, 99))
                .put("maxMs", histogram.getMaxValue() / 1000.0));
        return json;
    }

    private static String key(Kind kind) {
        return kind.name().toLowerCase(Locale.ROOT);
    }

    private static double millisAt(Histogram histogram, double percentile) {
        return histogram.getValueAtPercentile(percentile) / 1000.0;
    }

    private void log() {
        StringBuilder line = new StringBuilder();
        histograms.forEach((kind, histogram) -> line.append(String.format(
                " %1$s.count=%2$d %1$s.p50Ms=%3$.1f %1$s.p99Ms=%4$.1f %1$s.maxMs=%5$.1f",
                key(kind),
                histogram.getTotalCount(),
                millisAt(histogram, 50),
                millisAt(histogram, 99),
                histogram.getMaxValue() / 1000.0)));
        LOG.info("latencies{}", line);
        scope.after(LOG_INTERVAL_NANOS, this::log);
    }
}
