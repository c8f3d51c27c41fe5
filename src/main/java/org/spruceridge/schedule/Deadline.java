package org.spruceridge.schedule;

/** The Deadline term, equations 4 to 7. */
public final class Deadline implements Heuristic {
    /** Equations 4 and 5: 0 with more than one spare run time left, 1 once the deadline cannot be met. */
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
