package org.spruceridge.schedule;

import org.spruceridge.cluster.Machine;

/** The Wait minimization term, equation 12. */
public final class Wait implements Heuristic {
    @Override
    public double value(Row row, Machine machine, double remainingS) {
        return 1 - remainingS / row.longestS();
    }
}
