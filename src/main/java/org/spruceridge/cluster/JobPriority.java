package org.spruceridge.cluster;

/** The priority of a job, from highest to lowest. */
public enum JobPriority {
    PRODUCTION,
    HIGH,
    NORMAL,
    LOW;

    /** True if this priority is higher than the other. A job can then preempt jobs of the other priority. */
    public boolean outranks(JobPriority other) {
        return ordinal() < other.ordinal();
    }
}
