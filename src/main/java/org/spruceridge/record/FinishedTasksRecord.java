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
 * <p>There are two page formats. Version 0.1 reads only the format of the base level. In this format, each chunk has a
 * chunk number. The index of the chunk's first task is the chunk number times the chunk size, which is derived from the
 * maximum value size of the state service. In the format of level {@link FeatureLevel#SERVICES}, each chunk contains
 * the index of its first task. Therefore the chunk size can change. A page in this format contains its format number.
 */
public final class FinishedTasksRecord {
    /** The encoded size of a chunk's headers and first index, without its job id and bit set. */
    private static final int CHUNK_OVERHEAD_BYTES = 14;

    private static final String FORMAT_FIELD = "f";
    private static final int FORMAT_WITH_FIRST_TASK = 2;

    private FinishedTasksRecord() {}

    /** The finished tasks of one chunk of a job. Bit 0 is the task with index {@code first}. */
    public record Chunk(String job, int firstTaskIndex, BitSet tasks) {}

    /** The number of tasks in a full chunk. The bit set of a full chunk takes about a third of a page. */
    public static int tasksPerChunk(double valueKb) {
        return Math.max(64, PackedValue.capacity(valueKb) / 3 * 8);
    }

    /** The maximum size in bytes of a chunk with {@code tasks} tasks. */
    public static int maxChunkBytes(String job, int tasks) {
        return CHUNK_OVERHEAD_BYTES + job.length() + (tasks + 7) / 8;
    }

    /**
     * Returns a page that contains the given chunks, in the page format that the feature level prescribes. The
     * transaction with the given id writes the page. At the base level, chunks cover {@code baseChunkSize} tasks each.
     */
    public static ObjectNode write(
            String transactionId, FeatureLevel level, int baseChunkSize, Collection<Chunk> chunks) {
        boolean withFirstTask = level.includes(FeatureLevel.SERVICES);
        ObjectNode page = PackedValue.write(transactionId, out -> {
            out.packArrayHeader(chunks.size());
            for (Chunk chunk : chunks) {
                byte[] bits = chunk.tasks.toByteArray();
                out.packString(chunk.job);
                out.packInt(withFirstTask ? chunk.firstTaskIndex : chunk.firstTaskIndex / baseChunkSize);
                out.packBinaryHeader(bits.length);
                out.writePayload(bits);
            }
        });
        return withFirstTask ? page.put(FORMAT_FIELD, FORMAT_WITH_FIRST_TASK) : page;
    }

    /**
     * Reads a page in either format. A {@link BadMessageException} means that the page is malformed or that this
     * version does not know the page's format number.
     */
    public static List<Chunk> read(JsonNode value, int baseChunkSize) throws BadMessageException {
        boolean withFirstTask = value.has(FORMAT_FIELD);
        if (withFirstTask && value.path(FORMAT_FIELD).asInt() != FORMAT_WITH_FIRST_TASK) {
            throw new BadMessageException("form " + value.path(FORMAT_FIELD) + " of a page is not known here");
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
