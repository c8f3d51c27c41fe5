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
 * MessagePack inside a JSON value of the state service, beside the id of the transaction that wrote it: a value
 * holds several times as much as it would in plain JSON.
 */
public final class PackedValue {
    private static final String BYTES = "b";
    private static final String TRANSACTION_ID = "w";
    /** About how many bytes a value takes beside the packed ones. */
    private static final int FRAME_BYTES = 128;

    private PackedValue() {}

    /** Writes a part of a page. */
    public interface Writer {
        /** Adds the content. */
        void write(MessageBufferPacker out) throws IOException;
    }

    /** Reads what was written. */
    public interface Reader<T> {
        /** Takes the content. */
        T read(MessageUnpacker in) throws IOException;
    }

    /** How many packed bytes go into a value of this size. */
    public static int capacity(double valueKb) {
        return Math.max(256, (int) ((valueKb * 1024 - FRAME_BYTES) * 3 / 4));
    }

    /** A value that carries the id of the transaction which writes it. */
    public static ObjectNode write(String transactionId, Writer writer) {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            writer.write(out);
            return Json.object()
                    .put(BYTES, out.toByteArray()) // Jackson writes it as Base64, without a string in between
                    .put(TRANSACTION_ID, transactionId);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Reads what a {@link Writer} wrote. */
    public static <T> T read(JsonNode value, Reader<T> reader) throws BadMessageException {
        byte[] bytes = Json.bytes(value, BYTES);
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(bytes)) {
            return reader.read(in);
        } catch (IOException | MessagePackException e) {
            throw new BadMessageException("not a packed record");
        }
    }

    /** The id of the transaction that wrote a value. */
    public static String transactionIdOf(JsonNode value) {
        return value.path(TRANSACTION_ID).asText();
    }
}
