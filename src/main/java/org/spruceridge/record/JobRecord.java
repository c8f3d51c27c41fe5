package org.spruceridge.record;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Json;

/**
 * The stored record of a job. The open entry of an unfinished job has the same format and content.
 *
 * @param submittedMs the submission time in milliseconds since the epoch
 * @param stage whether the job is open, or how it ended
 * @param endedMs the end time in milliseconds since the epoch; 0 if the job is open or the end time is unknown
 */
public record JobRecord(JobSpec spec, long submittedMs, Stage stage, long endedMs) {
    /** The maximum overhead in bytes that the state service adds to the size of a value. */
    private static final int VALUE_OVERHEAD_BYTES = 32;

    /** The length to which {@link #write(int)} truncates names, in code points. */
    private static final int TRUNCATED_NAME_CODE_POINTS = 16;

    /** The stored state of a job. */
    public enum Stage {
        OPEN("open"),
        DONE("done"),
        CANCELLED("cancelled");

        private final String storedName;

        Stage(String text) {
            this.storedName = text;
        }
    }

    /** Returns the record of a job that is accepted at {@code nowMs}. */
    public static JobRecord open(JobSpec spec, long nowMs) {
        return new JobRecord(spec, nowMs, Stage.OPEN, 0);
    }

    /** Returns the record of the same job after the job has ended at {@code nowMs}. */
    public JobRecord ended(Stage end, long nowMs) {
        return new JobRecord(spec, submittedMs, end, nowMs);
    }

    /**
     * True if the record is within the value size limit of the state service. The record of the ended job, which is
     * slightly longer, is then also within the limit.
     */
    public boolean fits(int maxValueBytes) {
        return Json.bytes(ended(Stage.CANCELLED, submittedMs).write()).length + VALUE_OVERHEAD_BYTES <= maxValueBytes;
    }

    /**
     * Returns the record as JSON, within the value size limit. If the record was accepted under a larger limit, the job
     * class and image names are truncated and the allowed machine types are omitted. This loss is safe because an ended
     * job no longer needs them.
     */
    public ObjectNode write(int maxValueBytes) {
        if (fits(maxValueBytes)) {
            return write();
        }
        JobSpec truncatedSpec = spec.withClassAndImage(truncate(spec.jobClass()), truncate(spec.image()))
                .withAllowedMachineTypes(Optional.empty());
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

    /** Returns the record as JSON, whatever its size. */
    public ObjectNode write() {
        ObjectNode out = Json.object().put("stage", stage.storedName).put("at", submittedMs);
        if (stage != Stage.OPEN) {
            out.put("ended_at", endedMs);
        }
        out.set("spec", JobSpecMessage.write(spec));
        return out;
    }
}
