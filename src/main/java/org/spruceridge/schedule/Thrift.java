package org.spruceridge.schedule;

import org.spruceridge.cluster.Machine;

/** Ours: what a machine costs, so that dear machines fall idle first and can be returned. */
public final class Thrift implements Heuristic {
    @Override
    public double value(Row row, Machine machine, double remainingS) {
        return 1 - row.prices().applyAsDouble(machine);
    }
}
