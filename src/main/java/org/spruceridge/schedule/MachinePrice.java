package org.spruceridge.schedule;

/**
 * The machine price term, an addition to the paper: cheap machines score higher. As a result, expensive machines become
 * idle first and can be scaled in.
 */
public final class MachinePrice implements Heuristic {
    @Override
    public double value(Row row, MachineGroup group, double remainingS) {
        return 1 - group.relativePrice();
    }

    @Override
    public boolean dependsOnMachine() {
        return true;
    }
}
