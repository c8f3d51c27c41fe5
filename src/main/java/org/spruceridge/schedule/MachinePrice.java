package org.spruceridge.schedule;

/** Not of the paper: the price of a machine, so that expensive machines become idle first and can be scaled in. */
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
