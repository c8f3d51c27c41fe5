package org.spruceridge.record;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Json;

/**
 * The stored record of a job: what was submitted and when, and how and when the job ended. {@code endedMs} is 0 if that
 * time is unknown. The open entry of an unfinished job has the same form.
 */
public record JobRecord(JobSpec spec, long submittedMs, Stage stage, long endedMs) {
    /** The overhead in bytes that the state service may add to the size of a value. */
    private static final int VALUE_OVERHEAD_BYTES = 32;

    /** The length in code points to which names are truncated. */
    private static final int TRUNCATED_NAME_CODE_POINTS = 16;

    /** The stored state of a job. */
    public enum Stage {
        OPEN("open"),
        DONE("done"),
        CANCELLED("cancelled");

        private final String text;

        Stage(String text) {
            this.text = text;
        }
    }

    /** The record of a job that is accepted at {@code nowMs}. */
    public static JobRecord open(JobSpec spec, long nowMs) {
        return new JobRecord(spec, nowMs, Stage.OPEN, 0);
    }

    /** The record of the same job after it has ended at {@code nowMs}. */
    public JobRecord ended(Stage end, long nowMs) {
        return new JobRecord(spec, submittedMs, end, nowMs);
    }

    /**
     * True if the record is within the value size limit of the state service, both now and at the end of the job, when
     * it is slightly longer.
     */
    public boolean fits(int maxValueBytes) {
        return Json.bytes(ended(Stage.CANCELLED, submittedMs).write()).length + VALUE_OVERHEAD_BYTES <= maxValueBytes;
    }

    /**
     * The record as JSON, within the value size limit. If the record was accepted under a larger limit, the class and
     * image names are truncated and the allowed types are omitted, which is safe because an ended job no longer needs
     * them.
     */
    public ObjectNode write(int maxValueBytes) {
        if (fits(maxValueBytes)) {
            return write();
        }
        JobSpec truncatedSpec = spec.withNames(truncate(spec.jobClass()), truncate(spec.image()))
                .withTypes(Optional.empty());
        return new JobRecord(truncatedSpec, submittedMs, stage, endedMs).write();
    }

    private static String truncate(String name) {
        int codePoints = Math.min(name.codePointCount(0, name.length()), TRUNCATED_NAME_CODE_POINTS);
        return name.substring(0, name.offsetByCodePoints(0, codePoints));
    }

    /** Reads the record; a {@link BadMessageException} means that it is malformed. */
    public static JobRecord read(JsonNode value) throws BadMessageException {
        Stage stage =
                switch (Json.text(value, "stage")) {
                    case "open" -> Stage.OPEN;
                    case "done" -> Stage.DONE;
                    case "cancelled" -> Stage.CANCELLED;
                    default -> throw new BadMessageException("unknown stage of a job record");
                };
        return new JobRecord(
                JobSpecMessage.read(value.path("spec")),
                Json.nonNegativeLong(value, "at"),
                stage,
                value.path("ended_at").asLong());
    }

    /** The record as JSON. */
    public ObjectNode write() {
        ObjectNode out = Json.object().put("stage", stage.text).put("at", submittedMs);
        if (stage != Stage.OPEN) {
            out.put("ended_at", endedMs);
        }
        out.set("spec", JobSpecMessage.write(spec));
        return out;
    }
}
