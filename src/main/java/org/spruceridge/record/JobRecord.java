package org.spruceridge.record;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Json;

/**
 * The record of a job: what was submitted, when, and how and when it has ended ({@code endedMs}, 0 if not known). The
 * open entry of an unfinished job has the same form.
 */
public record JobRecord(JobSpec spec, long submittedMs, Stage stage, long endedMs) {
    /** Bytes that the state service may count beside the value itself. */
    private static final int FRAME_BYTES = 32;

    /** The length to which names are truncated, in code points. */
    private static final int TRUNCATED_NAME_LENGTH = 16;

    /** A job's state on record. */
    public enum Stage {
        OPEN("open"),
        DONE("done"),
        CANCELLED("cancelled");

        private final String text;

        Stage(String text) {
            this.text = text;
        }
    }

    /** The record of a job that was accepted just now. */
    public static JobRecord open(JobSpec spec, long nowMs) {
        return new JobRecord(spec, nowMs, Stage.OPEN, 0);
    }

    /** The record once the job has ended. */
    public JobRecord ended(Stage end, long nowMs) {
        return new JobRecord(spec, submittedMs, end, nowMs);
    }

    /**
     * True if the record, and the one that it becomes at the end of the job, are within the limit. The latter is a little
     * longer.
     */
    public boolean fits(int valueBytes) {
        return Json.bytes(ended(Stage.CANCELLED, submittedMs).write()).length + FRAME_BYTES <= valueBytes;
    }

    /**
     * The record as JSON, within the limit: of one that was accepted when values could be larger, names that matter to
     * nobody any more are cut short.
     */
    public ObjectNode write(int valueBytes) {
        if (fits(valueBytes)) {
            return write();
        }
        JobSpec shorter = spec.withNames(truncate(spec.jobClass()), truncate(spec.image()))
                .withTypes(Optional.empty());
        return new JobRecord(shorter, submittedMs, stage, endedMs).write();
    }

    private static String truncate(String name) {
        int most = Math.min(name.codePointCount(0, name.length()), TRUNCATED_NAME_LENGTH);
        return name.substring(0, name.offsetByCodePoints(0, most));
    }

    /** Reads the record. */
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
