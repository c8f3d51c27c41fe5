package org.spruceridge.cluster;

/** What machines are alike in for whoever rents or places: their type, their zone, and whether they are spot machines. */
public record MachineKind(String type, String zone, boolean spot) {
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
