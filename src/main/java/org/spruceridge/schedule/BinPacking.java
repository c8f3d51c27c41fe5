package org.spruceridge.schedule;

/**
 * The bin packing term, an addition to the paper: fuller machines score higher. Choosing the fuller machine only among
 * equal scores does not keep small tasks together once scores differ between machines. Tasks that need a whole machine
 * would then find no empty machine.
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
