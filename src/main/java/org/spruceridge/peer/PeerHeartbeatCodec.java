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

/** Encodes peer heartbeats as MessagePack arrays. A later version may append fields; readers ignore those. */
public final class PeerHeartbeatCodec {
    /** Version 0.1 knows these fields and ignores those that follow. */
    private static final int VERSION_0_1_FIELD_COUNT = 6;

    private static final int FIELDS = VERSION_0_1_FIELD_COUNT + 2;
    private static final int MAX_JOBS = 5000;

    private PeerHeartbeatCodec() {}

    /** The frame of a heartbeat. Of more than 5000 jobs the progress of the first 5000 is included. */
    public static byte[] encode(PeerHeartbeat heartbeat) {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packArrayHeader(FIELDS);
            out.packString(heartbeat.hostName());
            out.packBoolean(heartbeat.stateServiceReachable());
            out.packBoolean(heartbeat.receivesWorkerHeartbeats());
            out.packLong(heartbeat.term());
            packProgress(out, heartbeat.progress());
            packCancelled(out, heartbeat.cancelled());
            out.packInt(heartbeat.version().supportedLevel());
            out.packString(heartbeat.version().name());
            return out.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static void packProgress(MessageBufferPacker out, ImmutableMap<String, Progress> progress)
            throws IOException {
        int count = Math.min(MAX_JOBS, progress.size());
        out.packMapHeader(count);
        Iterator<Map.Entry<String, Progress>> jobs = progress.entrySet().iterator();
        for (int i = 0; i < count; i++) {
            Map.Entry<String, Progress> job = jobs.next();
            out.packString(job.getKey());
            out.packArrayHeader(2);
            out.packInt(job.getValue().done());
            out.packInt(job.getValue().running());
        }
    }

    private static void packCancelled(MessageBufferPacker out, ImmutableList<String> cancelled) throws IOException {
        out.packArrayHeader(cancelled.size());
        for (String id : cancelled) {
            out.packString(id);
        }
    }

    /** Reads a frame. A {@link BadMessageException} says that it is too short or not a heartbeat. */
    public static PeerHeartbeat decode(byte[] frame) throws BadMessageException {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(frame)) {
            int fields = in.unpackArrayHeader();
            if (fields < VERSION_0_1_FIELD_COUNT) {
                throw new BadMessageException("a heartbeat is too short");
            }
            // Arguments are evaluated from left to right, which is the order of the fields in the frame.
            return new PeerHeartbeat(
                    in.unpackString(),
                    in.unpackBoolean(),
                    in.unpackBoolean(),
                    in.unpackLong(),
                    unpackProgress(in),
                    unpackCancelled(in),
                    unpackVersion(in, fields));
        } catch (IOException | MessagePackException e) {
            throw new BadMessageException("not a heartbeat: " + e.getClass().getSimpleName());
        }
    }

    private static ImmutableMap<String, Progress> unpackProgress(MessageUnpacker in) throws IOException {
        ImmutableMap.Builder<String, Progress> progress = ImmutableMap.builder();
        int count = in.unpackMapHeader();
        for (int i = 0; i < count; i++) {
            String id = in.unpackString();
            in.unpackArrayHeader();
            progress.put(id, new Progress(in.unpackInt(), in.unpackInt()));
        }
        return progress.buildKeepingLast();
    }

    private static ImmutableList<String> unpackCancelled(MessageUnpacker in) throws IOException {
        ImmutableList.Builder<String> cancelled = ImmutableList.builder();
        int count = in.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            cancelled.add(in.unpackString());
        }
        return cancelled.build();
    }

    private static MemberVersion unpackVersion(MessageUnpacker in, int fields) throws IOException {
        return fields < FIELDS ? MemberVersion.UNANNOUNCED : new MemberVersion(in.unpackInt(), in.unpackString());
    }
}
