package org.spruceridge.cluster;

/** Whether the tasks of a job run to completion or until they are stopped. */
public enum JobKind {
    /** A job array: independent tasks, each of which runs to completion. */
    ARRAY,
    /** Replicas that run until the job is cancelled; the job never completes. */
    SERVICE
}
