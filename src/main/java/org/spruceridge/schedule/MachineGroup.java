package org.spruceridge.schedule;

import org.spruceridge.cluster.MachineKind;

/**
 * One column of the matrix: machines that have the same score for every candidate, because they are of the same kind
 * and equally full.
 *
 * @param relativePrice the price per CPU of such a machine, as a share of the highest price in the matrix
 * @param fullness the share of such a machine's CPUs that is in use
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
