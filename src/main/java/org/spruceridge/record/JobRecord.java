package org.spruceridge.record;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Json;

/** The record of a job: what was submitted, when, and how it has ended. The marker of an open job has the same form. */
public record JobRecord(JobSpec spec, long submittedMs, Stage stage) {
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

    public JobRecord ended(Stage end) {
        return new JobRecord(spec, submittedMs, end);
    }

    public static JobRecord read(JsonNode value) throws BadMessageException {
        Stage stage =
                switch (Json.text(value, "stage")) {
                    case "open" -> Stage.OPEN;
                    case "done" -> Stage.DONE;
                    case "cancelled" -> Stage.CANCELLED;
                    default -> throw new BadMessageException("unknown stage of a job record");
                };
        return new JobRecord(SpecMessage.read(value.path("spec")), Json.whole(value, "at"), stage);
    }

    public ObjectNode write() {
        ObjectNode out = Json.object().put("stage", stage.text).put("at", submittedMs);
        out.set("spec", SpecMessage.write(spec));
        return out;
    }
}
