package org.spruceridge.schedule;

/** The Overhead minimization term (equation 8): the ratio of the elapsed to the remaining run time, at most 1. */
public final class OverheadMinimization implements Heuristic {
    @Override
    public double value(Row row, MachineGroup group, double remainingS) {
        double elapsedS = row.candidate().elapsedS();
        return elapsedS / Math.max(remainingS, elapsedS);
    }
}
