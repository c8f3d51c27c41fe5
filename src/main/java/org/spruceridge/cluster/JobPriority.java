package org.spruceridge.cluster;

/** A job's priority, the highest first. */
public enum JobPriority {
    PRODUCTION,
    HIGH,
    NORMAL,
    LOW;

    /** True if work of this rank may have work of the other stopped. */
    public boolean outranks(JobPriority other) {
        return ordinal() < other.ordinal();
    }
}
