package org.spruceridge.record;

/** The keys of the records in the state service. */
public final class StateKeys {
    public static final String LEADER = "leader";
    public static final String TERM = "term";
    /** The key of the cluster feature level, see {@link org.spruceridge.upgrade.FeatureLevel}. */
    public static final String FEATURE_LEVEL = "feature-level";

    /** The key of the leader's progress report, see {@link ProgressRecord}. */
    public static final String PROGRESS = "progress";

    public static final String CATALOGUE = "catalogue";
    public static final String JOBS_PREFIX = "job/";
    public static final String OPEN_JOBS_PREFIX = "open/";
    /** The key prefix of pages that record the finished tasks of unfinished jobs. */
    public static final String FINISHED_TASKS_PREFIX = "parts/";
    /** The key prefix of pages of bindings. */
    public static final String BINDINGS_PREFIX = "bound/";

    private StateKeys() {}

    /** The key of a job's record, which is never deleted. */
    public static String job(String id) {
        return JOBS_PREFIX + id;
    }

    /** The key of a job's open entry, which is created together with the job's record and deleted at the job's end. */
    public static String openJob(String id) {
        return OPEN_JOBS_PREFIX + id;
    }
}
