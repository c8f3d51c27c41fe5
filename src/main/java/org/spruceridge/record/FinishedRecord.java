package org.spruceridge.record;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Base64;
import java.util.BitSet;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Json;

/** Which tasks of one chunk of a job are finished, as a bit set in Base64. */
public record FinishedRecord(String job, int chunk, BitSet tasks, String write) {

    /** How many tasks go into a chunk, so that a full one takes about a third of the largest value. */
    public static int chunkSize(double valueKb) {
        return Math.max(64, (int) (valueKb * 1024 * 8 / 4));
    }

    public static FinishedRecord read(String key, JsonNode value) throws BadMessageException {
        String rest = key.substring(Keys.FINISHED.length());
        int slash = rest.lastIndexOf('/');
        try {
            return new FinishedRecord(
                    rest.substring(0, slash),
                    Integer.parseInt(rest.substring(slash + 1)),
                    BitSet.valueOf(Base64.getDecoder().decode(Json.text(value, "bits"))),
                    value.path("w").asText());
        } catch (IndexOutOfBoundsException | IllegalArgumentException e) {
            throw new BadMessageException("not a record of finished tasks: " + key);
        }
    }

    public ObjectNode toJson() {
        return Json.object()
                .put("bits", Base64.getEncoder().encodeToString(tasks.toByteArray()))
                .put("w", write);
    }
}
