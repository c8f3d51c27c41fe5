package org.spruceridge.schedule;

/** The Deadline term, equations 4 to 7. */
public final class Deadline implements Heuristic {
    /**
     * Equations 4 and 5, with both times in seconds: 0 while the slack is at least twice the remaining run time, and 1
     * once the slack is no longer than the remaining run time. With less slack the deadline cannot be met.
     */
    public static double urgency(double slackS, double remainingS) {
        double latestStartS = slackS - remainingS;
        if (remainingS <= latestStartS) {
            return 0;
        }
        return remainingS <= slackS ? (remainingS - latestStartS) / remainingS : 1;
    }

    @Override
    public double value(Row row, MachineGroup group, double remainingS) {
        return (1 - urgency(row.candidate().slackS(), remainingS)) * row.urgency();
    }
}
