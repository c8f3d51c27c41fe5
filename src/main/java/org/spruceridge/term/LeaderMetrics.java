package org.spruceridge.term;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.CaseFormat;
import org.spruceridge.net.Durations;

/** Counts worker heartbeats by outcome and measures failover durations, over all terms of this process. */
public final class LeaderMetrics {
    private final long[] heartbeatsByOutcome = new long[HeartbeatOutcome.values().length];
    private long failoverCount;
    private long lastFailoverNanos;
    private long longestFailoverNanos;

    /** Counts a heartbeat with this outcome. */
    public void count(HeartbeatOutcome outcome) {
        heartbeatsByOutcome[outcome.ordinal()]++;
    }

    /** Records a completed failover; {@code durationNanos} is the time since this node won the election. */
    public void failoverCompleted(long durationNanos) {
        failoverCount++;
        lastFailoverNanos = durationNanos;
        longestFailoverNanos = Math.max(longestFailoverNanos, durationNanos);
    }

    /** Writes the fields {@code heartbeatOutcomes} and {@code failovers}. */
    public void writeTo(ObjectNode out) {
        ObjectNode outcomes = out.putObject("heartbeatOutcomes");
        for (HeartbeatOutcome outcome : HeartbeatOutcome.values()) {
            String name = CaseFormat.UPPER_UNDERSCORE.to(CaseFormat.LOWER_CAMEL, outcome.name());
            outcomes.put(name, heartbeatsByOutcome[outcome.ordinal()]);
        }
        out.putObject("failovers")
                .put("count", failoverCount)
                .put("lastS", Durations.seconds(lastFailoverNanos))
                .put("longestS", Durations.seconds(longestFailoverNanos));
    }
}
