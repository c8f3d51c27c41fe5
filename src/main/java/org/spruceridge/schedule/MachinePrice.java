package org.spruceridge.schedule;

/** Ours: what a machine costs, so that dear machines fall idle first and can be returned. */
public final class MachinePrice implements Heuristic {
    @Override
    public double value(Row row, MachineGroup group, double remainingS) {
        return 1 - group.price();
    }

    @Override
    public boolean dependsOnMachine() {
        return true;
    }
}
