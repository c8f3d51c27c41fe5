package org.spruceridge.record;

/** The names under which the service keeps its records in the state service. */
public final class Keys {
    public static final String LEADER = "leader";
    public static final String TERM = "term";
    /** The cluster feature level, see {@link org.spruceridge.upgrade.FeatureLevel}. */
    public static final String FEATURE_LEVEL = "feature-level";

    public static final String CATALOGUE = "catalogue";
    public static final String JOBS = "job/";
    public static final String OPEN = "open/";
    /** Pages of finished tasks of unfinished jobs. */
    public static final String FINISHED = "parts/";
    /** Pages of bindings. */
    public static final String BINDINGS = "bound/";

    private Keys() {}

    /** The record of a job, which is never dropped. */
    public static String job(String id) {
        return JOBS + id;
    }

    /** The open entry of an unfinished job, which is written with its record and dropped with its end. */
    public static String open(String id) {
        return OPEN + id;
    }
}
