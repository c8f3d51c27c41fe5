package org.spruceridge.cluster;

/** Identifies a task by the id of its job and its index in the job. */
public record TaskId(String job, int index) {
    // equals and hashCode are explicit because every heartbeat looks up keys of this type. The generated methods of a
    // record take some milliseconds on first use and go through method handles on each call.
    @Override
    public boolean equals(Object other) {
        return other instanceof TaskId that && index == that.index && job.equals(that.job);
    }

    @Override
    public int hashCode() {
        return 31 * job.hashCode() + index;
    }

    @Override
    public String toString() {
        return job + "/" + index;
    }
}
