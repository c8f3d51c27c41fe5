package org.spruceridge.cluster;

/** The priority of a job, from highest to lowest. */
public enum JobPriority {
    PRODUCTION,
    HIGH,
    NORMAL,
    LOW;

    /** True if this priority is higher, so that its jobs may preempt jobs of the other. */
    public boolean outranks(JobPriority other) {
        return ordinal() < other.ordinal();
    }
}
