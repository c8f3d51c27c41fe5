package org.spruceridge.schedule;

import org.spruceridge.cluster.MachineKind;

/**
 * One column of the matrix: machines of the same kind that are equally full. They have the same score for every
 * candidate.
 *
 * @param relativePrice the price per CPU of a machine of this group, divided by the highest price per CPU in the matrix
 * @param fullness the share of CPUs that is in use on each machine of this group
 */
public record MachineGroup(MachineKind kind, double relativePrice, double fullness) {
    @Override
    public boolean equals(Object other) {
        return other instanceof MachineGroup that
                && Double.compare(fullness, that.fullness) == 0
                && Double.compare(relativePrice, that.relativePrice) == 0
                && kind.equals(that.kind);
    }

    @Override
    public int hashCode() {
        return 31 * (31 * kind.hashCode() + Double.hashCode(relativePrice)) + Double.hashCode(fullness);
    }
}
