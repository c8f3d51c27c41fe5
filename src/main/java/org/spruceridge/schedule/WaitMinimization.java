package org.spruceridge.schedule;

/** The Wait minimization term (equation 12) is higher for candidates with a shorter remaining run time. */
public final class WaitMinimization implements Heuristic {
    @Override
    public double value(Row row, MachineGroup group, double remainingS) {
        return 1 - remainingS / row.longestRemainingS();
    }
}
