package org.spruceridge.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Iterator;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.peer.PeerHeartbeat.Progress;

/**
 * Encodes and decodes peer heartbeats as MessagePack arrays. Later versions can append fields; older readers ignore
 * them.
 */
public final class PeerHeartbeatCodec {
    /** The number of fields in a heartbeat of version 0.1. Nodes of that version ignore any further fields. */
    private static final int VERSION_0_1_FIELD_COUNT = 6;

    private static final int FIELD_COUNT = VERSION_0_1_FIELD_COUNT + 2;
    private static final int MAX_PROGRESS_ENTRIES = 5000;

    private PeerHeartbeatCodec() {}

    /** Encodes a heartbeat as a frame. The frame contains the progress of at most the first 5000 jobs. */
    public static byte[] encode(PeerHeartbeat heartbeat) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            packer.packArrayHeader(FIELD_COUNT);
            packer.packString(heartbeat.hostName());
            packer.packBoolean(heartbeat.stateServiceReachable());
            packer.packBoolean(heartbeat.receivesWorkerHeartbeats());
            packer.packLong(heartbeat.term());
            packProgress(packer, heartbeat.progress());
            packCancelledJobs(packer, heartbeat.cancelledJobs());
            packer.packInt(heartbeat.version().supportedLevel());
            packer.packString(heartbeat.version().name());
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void packProgress(MessageBufferPacker packer, ImmutableMap<String, Progress> progress)
            throws IOException {
        int count = Math.min(MAX_PROGRESS_ENTRIES, progress.size());
        packer.packMapHeader(count);
        Iterator<Map.Entry<String, Progress>> jobs = progress.entrySet().iterator();
        for (int i = 0; i < count; i++) {
            Map.Entry<String, Progress> job = jobs.next();
            packer.packString(job.getKey());
            packer.packArrayHeader(2);
            packer.packInt(job.getValue().done());
            packer.packInt(job.getValue().running());
        }
    }

    private static void packCancelledJobs(MessageBufferPacker packer, ImmutableList<String> cancelledJobs)
            throws IOException {
        packer.packArrayHeader(cancelledJobs.size());
        for (String id : cancelledJobs) {
            packer.packString(id);
        }
    }

    /** Decodes a frame. Throws {@link BadMessageException} if the frame has too few fields or is not a heartbeat. */
    public static PeerHeartbeat decode(byte[] frame) throws BadMessageException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame)) {
            int fieldCount = unpacker.unpackArrayHeader();
            if (fieldCount < VERSION_0_1_FIELD_COUNT) {
                throw new BadMessageException("a peer heartbeat has fewer than 6 fields");
            }
            // Java evaluates the arguments from left to right, which is the order of the fields in the frame.
            return new PeerHeartbeat(
                    unpacker.unpackString(),
                    unpacker.unpackBoolean(),
                    unpacker.unpackBoolean(),
                    unpacker.unpackLong(),
                    unpackProgress(unpacker),
                    unpackCancelledJobs(unpacker),
                    unpackVersion(unpacker, fieldCount));
        } catch (IOException | MessagePackException e) {
            throw new BadMessageException("not a heartbeat: " + e.getClass().getSimpleName());
        }
    }

    private static ImmutableMap<String, Progress> unpackProgress(MessageUnpacker unpacker) throws IOException {
        ImmutableMap.Builder<String, Progress> progress = ImmutableMap.builder();
        int count = unpacker.unpackMapHeader();
        for (int i = 0; i < count; i++) {
            String id = unpacker.unpackString();
            unpacker.unpackArrayHeader();
            progress.put(id, new Progress(unpacker.unpackInt(), unpacker.unpackInt()));
        }
        return progress.buildKeepingLast();
    }

    private static ImmutableList<String> unpackCancelledJobs(MessageUnpacker unpacker) throws IOException {
        ImmutableList.Builder<String> cancelledJobs = ImmutableList.builder();
        int count = unpacker.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            cancelledJobs.add(unpacker.unpackString());
        }
        return cancelledJobs.build();
    }

    private static MemberVersion unpackVersion(MessageUnpacker unpacker, int fieldCount) throws IOException {
        return fieldCount < FIELD_COUNT
                ? MemberVersion.UNANNOUNCED
                : new MemberVersion(unpacker.unpackInt(), unpacker.unpackString());
    }
}
