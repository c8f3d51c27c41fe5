package org.spruceridge.cluster;

/** Whether a job's tasks come to an end by themselves. */
public enum JobKind {
    /** Independent tasks, each of which runs to completion. */
    ARRAY,
    /** Replicas that run until the job is cancelled; the job is never done. */
    SERVICE
}
