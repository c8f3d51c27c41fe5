package org.spruceridge.record;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Json;

/**
 * The record of a job: what was submitted, when, and how and when it has ended ({@code endedMs}, 0 if not known). The
 * marker of an open job has the same form.
 */
public record JobRecord(JobSpec spec, long submittedMs, Stage stage, long endedMs) {
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
                SpecMessage.read(value.path("spec")),
                Json.whole(value, "at"),
                stage,
                value.path("ended_at").asLong());
    }

    /** The record as JSON. */
    public ObjectNode write() {
        ObjectNode out = Json.object().put("stage", stage.text).put("at", submittedMs);
        if (stage != Stage.OPEN) {
            out.put("ended_at", endedMs);
        }
        out.set("spec", SpecMessage.write(spec));
        return out;
    }
}
