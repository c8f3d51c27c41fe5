package org.spruceridge.cluster;

/** The properties by which machines are launched and tasks placed: type, zone, and whether it is a spot machine. */
public record MachineKind(String type, String zone, boolean spot) {
    // Written out for the same reason as in TaskId.
    @Override
    public boolean equals(Object other) {
        return other instanceof MachineKind that
                && spot == that.spot
                && type.equals(that.type)
                && zone.equals(that.zone);
    }

    @Override
    public int hashCode() {
        return 31 * (31 * type.hashCode() + zone.hashCode()) + (spot ? 1 : 0);
    }
}
