package org.spruceridge.schedule;

/**
 * Not of the paper: how full a machine is. Ties alone do not keep small tasks together once scores differ between
 * machines, and
 * tasks that take a whole machine then find none.
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
