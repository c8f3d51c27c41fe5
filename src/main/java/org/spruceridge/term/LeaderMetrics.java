package org.spruceridge.term;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.CaseFormat;
import org.spruceridge.net.Durations;

/** Counts what became of reports, and times failovers, over all terms of this process. */
public final class LeaderMetrics {
    private final long[] heartbeats = new long[HeartbeatOutcome.values().length];
    private long failovers;
    private long lastFailover;
    private long longestFailover;

    /** Counts a report. */
    public void count(HeartbeatOutcome outcome) {
        heartbeats[outcome.ordinal()]++;
    }

    /** A failover was completed, so many nanoseconds after the election. */
    public void failoverCompleted(long nanos) {
        failovers++;
        lastFailover = nanos;
        longestFailover = Math.max(longestFailover, nanos);
    }

    /** Adds reports by outcome, and failovers. */
    public void writeTo(ObjectNode out) {
        ObjectNode answers = out.putObject("reportOutcomes");
        for (HeartbeatOutcome outcome : HeartbeatOutcome.values()) {
            String name = CaseFormat.UPPER_UNDERSCORE.to(CaseFormat.LOWER_CAMEL, outcome.name());
            answers.put(name, heartbeats[outcome.ordinal()]);
        }
        out.putObject("failovers")
                .put("count", failovers)
                .put("lastS", Durations.seconds(lastFailover))
                .put("longestS", Durations.seconds(longestFailover));
    }
}
