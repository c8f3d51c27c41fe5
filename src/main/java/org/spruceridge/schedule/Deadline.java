package org.spruceridge.schedule;

/** The Deadline term (equation 6), which is based on the urgency of the candidate (equations 4, 5 and 7). */
public final class Deadline implements Heuristic {
    /**
     * Returns the urgency of equations 4 and 5; both parameters are in seconds. The urgency is 0 while the slack is at
     * least twice the remaining run time. The urgency is 1 once the slack is no longer than the remaining run time. The
     * deadline cannot be met if the slack is shorter than the remaining run time.
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
