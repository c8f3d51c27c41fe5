package org.spruceridge.cluster;

/** A job's priority, the highest first. */
public enum Rank {
    PRODUCTION,
    HIGH,
    NORMAL,
    LOW;

    /** True if work of this rank may have work of the other stopped. */
    public boolean outranks(Rank other) {
        return ordinal() < other.ordinal();
    }
}
