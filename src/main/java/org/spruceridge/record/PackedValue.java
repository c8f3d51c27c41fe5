package org.spruceridge.record;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.UncheckedIOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Json;

/**
 * MessagePack data inside a JSON value of the state service, with the id of the transaction that wrote the value. A
 * value of the same size holds several times as much data as plain JSON.
 */
public final class PackedValue {
    private static final String BYTES = "b";
    private static final String TRANSACTION_ID = "w";
    /** The approximate size in bytes of a value without the packed data. */
    private static final int OVERHEAD_BYTES = 128;

    private PackedValue() {}

    /** Writes the packed data. */
    public interface Writer {
        /** Writes all data to {@code out}. */
        void write(MessageBufferPacker out) throws IOException;
    }

    /** Reads the packed data. */
    public interface Reader<T> {
        /** Reads all data from {@code in}. */
        T read(MessageUnpacker in) throws IOException;
    }

    /** Returns the number of packed bytes that fit into a value of {@code valueKb} kilobytes. */
    public static int capacity(double valueKb) {
        return Math.max(256, (int) ((valueKb * 1024 - OVERHEAD_BYTES) * 3 / 4));
    }

    /** Returns a value with the packed data and the id of the transaction that writes the value. */
    public static ObjectNode write(String transactionId, Writer writer) {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            writer.write(out);
            return Json.object()
                    .put(BYTES, out.toByteArray()) // Jackson encodes it as Base64 without an intermediate string
                    .put(TRANSACTION_ID, transactionId);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads data written by a {@link Writer}; a {@link BadMessageException} means that the data is malformed. */
    public static <T> T read(JsonNode value, Reader<T> reader) throws BadMessageException {
        byte[] bytes = Json.bytes(value, BYTES);
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
            return reader.read(in);
        } catch (IOException | MessagePackException e) {
            throw new BadMessageException("not a packed record");
        }
    }

    /** Returns the id of the transaction that wrote the value; empty if the value contains none. */
    public static String transactionIdOf(JsonNode value) {
        return value.path(TRANSACTION_ID).asText();
    }
}
