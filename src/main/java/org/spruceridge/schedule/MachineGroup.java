package org.spruceridge.schedule;

import org.spruceridge.cluster.MachineKind;

/**
 * One column of the matrix: the machines that score alike for every candidate, because they are of one kind and equally
 * full.
 *
 * @param price what such a machine costs per CPU, as a share of the highest in the matrix
 * @param fullness the share of such a machine's CPUs that is taken
 */
public record MachineGroup(MachineKind kind, double price, double fullness) {
    @Override
    public boolean equals(Object other) {
        return other instanceof MachineGroup that
                && Double.compare(fullness, that.fullness) == 0
                && Double.compare(price, that.price) == 0
                && kind.equals(that.kind);
    }

    @Override
    public int hashCode() {
        return 31 * (31 * kind.hashCode() + Double.hashCode(price)) + Double.hashCode(fullness);
    }
}
