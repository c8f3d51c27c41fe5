package org.spruceridge.schedule;

import org.spruceridge.cluster.Machine;

/** The Overhead minimization term, equation 8. */
public final class Overhead implements Heuristic {
    @Override
    public double value(Row row, Machine machine, double remainingS) {
        double elapsedS = row.candidate().elapsedS();
        return elapsedS / Math.max(remainingS, elapsedS);
    }
}
