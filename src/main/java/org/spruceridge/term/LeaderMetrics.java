package org.spruceridge.term;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.CaseFormat;
import org.spruceridge.net.Durations;

/** Counts what became of reports, and times takeovers, over all terms of this process. */
public final class LeaderMetrics {
    private final long[] reports = new long[HeartbeatOutcome.values().length];
    private long takeovers;
    private long lastTakeover;
    private long longestTakeover;

    /** Counts a report. */
    public void count(HeartbeatOutcome outcome) {
        reports[outcome.ordinal()]++;
    }

    /** A takeover was completed, so many nanoseconds after the election. */
    public void takenOver(long nanos) {
        takeovers++;
        lastTakeover = nanos;
        longestTakeover = Math.max(longestTakeover, nanos);
    }

    /** Adds reports by outcome, and takeovers. */
    public void writeTo(ObjectNode out) {
        ObjectNode answers = out.putObject("reportOutcomes");
        for (HeartbeatOutcome outcome : HeartbeatOutcome.values()) {
            String name = CaseFormat.UPPER_UNDERSCORE.to(CaseFormat.LOWER_CAMEL, outcome.name());
            answers.put(name, reports[outcome.ordinal()]);
        }
        out.putObject("takeovers")
                .put("count", takeovers)
                .put("lastS", Durations.seconds(lastTakeover))
                .put("longestS", Durations.seconds(longestTakeover));
    }
}
