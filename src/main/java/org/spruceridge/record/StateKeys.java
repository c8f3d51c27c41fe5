package org.spruceridge.record;

/** The keys of the records in the state service. */
public final class StateKeys {
    public static final String LEADER = "leader";
    public static final String TERM = "term";
    /** The cluster feature level, see {@link org.spruceridge.upgrade.FeatureLevel}. */
    public static final String FEATURE_LEVEL = "feature-level";

    public static final String CATALOGUE = "catalogue";
    public static final String JOBS_PREFIX = "job/";
    public static final String OPEN_JOBS_PREFIX = "open/";
    /** Pages of finished tasks of unfinished jobs. */
    public static final String FINISHED_TASKS_PREFIX = "parts/";
    /** Pages of bindings. */
    public static final String BINDINGS_PREFIX = "bound/";

    private StateKeys() {}

    /** The record of a job, which is never deleted. */
    public static String job(String id) {
        return JOBS_PREFIX + id;
    }

    /** The open entry of an unfinished job, which is written with its record and deleted when the job ends. */
    public static String openJob(String id) {
        return OPEN_JOBS_PREFIX + id;
    }
}
