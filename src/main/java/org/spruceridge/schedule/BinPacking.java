package org.spruceridge.schedule;

/**
 * The bin packing term, an addition to the paper: fuller machines score higher. Once scores differ between machines,
 * tie-breaking alone does not keep small tasks together, and tasks that need a whole machine then find none.
 */
public final class BinPacking implements Heuristic {
    @Override
    public double value(Row row, MachineGroup group, double remainingS) {
        return group.fullness();
    }

    @Override
    public boolean dependsOnMachine() {
        return true;
    }
}
