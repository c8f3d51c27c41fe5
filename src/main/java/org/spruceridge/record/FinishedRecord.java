package org.spruceridge.record;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import org.spruceridge.net.BadMessageException;

/** One page of finished tasks: a bit set for each chunk of the tasks of an unfinished job. */
public final class FinishedRecord {
    /** Headers and the chunk's number. */
    private static final int ENTRY_BYTES = 14;

    private FinishedRecord() {}

    /** The finished tasks of one chunk of a job, counted from its first. */
    public record Chunk(String job, int number, BitSet tasks) {}

    /** How many tasks go into a chunk, so that a full one takes about a third of a page. */
    public static int chunkSize(double valueKb) {
        return Math.max(64, PackedValue.capacity(valueKb) / 3 * 8);
    }

    /** The most bytes that a chunk of so many tasks takes. */
    public static int bytes(String job, int tasks) {
        return ENTRY_BYTES + job.length() + (tasks + 7) / 8;
    }

    /** A page with these chunks; {@code write} names the transaction. */
    public static ObjectNode write(String write, Collection<Chunk> chunks) {
        return PackedValue.write(write, out -> {
            out.packArrayHeader(chunks.size());
            for (Chunk c : chunks) {
                byte[] bits = c.tasks.toByteArray();
                out.packString(c.job);
                out.packInt(c.number);
                out.packBinaryHeader(bits.length);
                out.writePayload(bits);
            }
        });
    }

    /** Reads a page. */
    public static List<Chunk> read(JsonNode value) throws BadMessageException {
        return PackedValue.read(value, in -> {
            List<Chunk> chunks = new ArrayList<>();
            int count = in.unpackArrayHeader();
            for (int i = 0; i < count; i++) {
                String job = in.unpackString();
                int number = in.unpackInt();
                chunks.add(new Chunk(job, number, BitSet.valueOf(in.readPayload(in.unpackBinaryHeader()))));
            }
            return chunks;
        });
    }
}
