package org.spruceridge.record;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.upgrade.FeatureLevel;

/**
 * One page of finished tasks: a bit set for each chunk of the tasks of an unfinished job.
 *
 * <p>It has two forms. At the base level, the only form that version 0.1 reads, a chunk has a number, and its first task
 * is that number times the size of chunks, which follows from the largest value that the state service takes. At level
 * {@link FeatureLevel#SERVICES} a chunk names its first task, so that the size may change, and the page names its form.
 */
public final class FinishedTasksRecord {
    /** Headers and the chunk's first task. */
    private static final int ENTRY_BYTES = 14;

    private static final String FORM = "f";
    private static final int FORM_WITH_FIRST_TASK = 2;

    private FinishedTasksRecord() {}

    /** The finished tasks of one chunk of a job, counted from the chunk's first task. */
    public record Chunk(String job, int first, BitSet tasks) {}

    /** How many tasks go into a chunk, so that a full one takes about a third of a page. */
    public static int chunkSize(double valueKb) {
        return Math.max(64, PackedValue.capacity(valueKb) / 3 * 8);
    }

    /** The most bytes that a chunk of so many tasks takes. */
    public static int bytes(String job, int tasks) {
        return ENTRY_BYTES + job.length() + (tasks + 7) / 8;
    }

    /**
     * A page with these chunks in the form of a feature level, written by a transaction. At the base level all chunks have
     * the size {@code baseChunkSize}.
     */
    public static ObjectNode write(
            String transactionId, FeatureLevel level, int baseChunkSize, Collection<Chunk> chunks) {
        boolean withFirstTask = level.includes(FeatureLevel.SERVICES);
        ObjectNode page = PackedValue.write(transactionId, out -> {
            out.packArrayHeader(chunks.size());
            for (Chunk chunk : chunks) {
                byte[] bits = chunk.tasks.toByteArray();
                out.packString(chunk.job);
                out.packInt(withFirstTask ? chunk.first : chunk.first / baseChunkSize);
                out.packBinaryHeader(bits.length);
                out.writePayload(bits);
            }
        });
        return withFirstTask ? page.put(FORM, FORM_WITH_FIRST_TASK) : page;
    }

    /** Reads a page of either form. */
    public static List<Chunk> read(JsonNode value, int baseChunkSize) throws BadMessageException {
        boolean withFirstTask = value.has(FORM);
        if (withFirstTask && value.path(FORM).asInt() != FORM_WITH_FIRST_TASK) {
            throw new BadMessageException("form " + value.path(FORM) + " of a page is not known here");
        }
        return PackedValue.read(value, in -> {
            List<Chunk> chunks = new ArrayList<>();
            int count = in.unpackArrayHeader();
            for (int i = 0; i < count; i++) {
                String job = in.unpackString();
                int number = in.unpackInt();
                int first = withFirstTask ? number : number * baseChunkSize;
                chunks.add(new Chunk(job, first, BitSet.valueOf(in.readPayload(in.unpackBinaryHeader()))));
            }
            return chunks;
        });
    }
}
