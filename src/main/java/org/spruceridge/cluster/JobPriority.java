package org.spruceridge.cluster;

/** The priority of a job, the highest first. */
public enum JobPriority {
    PRODUCTION,
    HIGH,
    NORMAL,
    LOW;

    /** True if jobs of this priority may preempt jobs of the other. */
    public boolean outranks(JobPriority other) {
        return ordinal() < other.ordinal();
    }
}
