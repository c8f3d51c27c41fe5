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
 * A stored page of finished tasks: a bit set for each chunk of consecutive tasks of an unfinished job.
 *
 * <p>There are two forms. In the form of the base level, the only one that version 0.1 reads, a chunk has a number. The
 * index of its first task is that number times the chunk size, which is derived from the maximum value size of the
 * state service. In the form of level {@link FeatureLevel#SERVICES} a chunk contains the index of its first task, so
 * that the chunk size may change, and the page contains the number of its form.
 */
public final class FinishedTasksRecord {
    /** The encoded size of a chunk without its job id and bit set: headers and the index of its first task. */
    private static final int CHUNK_OVERHEAD_BYTES = 14;

    private static final String FORM = "f";
    private static final int FORM_WITH_FIRST_TASK = 2;

    private FinishedTasksRecord() {}

    /** The finished tasks of one chunk of a job; bit 0 is the task with index {@code first}. */
    public record Chunk(String job, int first, BitSet tasks) {}

    /** The number of tasks in a chunk: a full chunk takes about a third of a page. */
    public static int chunkSize(double valueKb) {
        return Math.max(64, PackedValue.capacity(valueKb) / 3 * 8);
    }

    /** The maximum size in bytes of a chunk with {@code tasks} tasks. */
    public static int maxChunkBytes(String job, int tasks) {
        return CHUNK_OVERHEAD_BYTES + job.length() + (tasks + 7) / 8;
    }

    /**
     * A page with these chunks in the form of a feature level, to be written by a transaction. At the base level all
     * chunks have {@code baseChunkSize} tasks.
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

    /** Reads a page of either form; a {@link BadMessageException} means that it is malformed or of an unknown form. */
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
                int firstOrChunkNumber = in.unpackInt();
                int first = withFirstTask ? firstOrChunkNumber : firstOrChunkNumber * baseChunkSize;
                chunks.add(new Chunk(job, first, BitSet.valueOf(in.readPayload(in.unpackBinaryHeader()))));
            }
            return chunks;
        });
    }
}
