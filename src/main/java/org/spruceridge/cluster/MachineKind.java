package org.spruceridge.cluster;

/** The properties that matter for launching machines and placing tasks: type, zone, and spot or on-demand. */
public record MachineKind(String type, String zone, boolean spot) {
    // equals and hashCode are explicit for the same reason as in TaskId.
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
