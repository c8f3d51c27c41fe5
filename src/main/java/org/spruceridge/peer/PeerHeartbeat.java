package org.spruceridge.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.io.IOException;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.spruceridge.net.BadMessageException;

/**
 * What a node tells the others about once a second: whether the state service serves it, whether workers reach it, and,
 * from the leader, how far open jobs have come, and which jobs it lately told users to be cancelled. No rule rests on
 * it: it is for display, for the health check, for a leader that workers do not reach, and to have cancelled tasks
 * stopped sooner than the state service tells the leader. One rule rests on it after all, and that on what was heard and
 * never on what was not: a cluster feature level is raised once all members have announced that they support it.
 */
public record PeerHeartbeat(
        String hostName,
        boolean stateServiceReachable,
        boolean reachedByWorkers,
        long term,
        ImmutableMap<String, Progress> progress,
        ImmutableList<String> cancelled,
        MemberVersion version) {
    /** The fields that version 0.1 knows; it ignores those that follow. */
    private static final int FIELDS_OF_0_1 = 6;

    private static final int FIELDS = FIELDS_OF_0_1 + 2;
    private static final int MOST_JOBS = 5000;

    /** Tasks of a job that are done and that run. */
    public record Progress(int done, int running) {
        public static final Progress NONE = new Progress(0, 0);
    }

    /** The heartbeat as MessagePack. */
    public byte[] write() {
        try (MessageBufferPacker out = MessagePack.newDefaultBufferPacker()) {
            out.packArrayHeader(FIELDS);
            out.packString(hostName);
            out.packBoolean(stateServiceReachable);
            out.packBoolean(reachedByWorkers);
            out.packLong(term);
            int jobs = Math.min(MOST_JOBS, progress.size());
            out.packMapHeader(jobs);
            for (var e : progress.entrySet()) {
                if (jobs-- == 0) {
                    break;
                }
                out.packString(e.getKey());
                out.packArrayHeader(2);
                out.packInt(e.getValue().done());
                out.packInt(e.getValue().running());
            }
            out.packArrayHeader(cancelled.size());
            for (String id : cancelled) {
                out.packString(id);
            }
            out.packInt(version.supportedLevel());
            out.packString(version.name());
            return out.toByteArray();
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    /** Reads what {@link #write} wrote; fields that follow are ignored. */
    public static PeerHeartbeat read(byte[] frame) throws BadMessageException {
        try (MessageUnpacker in = MessagePack.newDefaultUnpacker(frame)) {
            int fields = in.unpackArrayHeader();
            if (fields < FIELDS_OF_0_1) {
                throw new BadMessageException("a heartbeat is too short");
            }
            String host = in.unpackString();
            boolean serves = in.unpackBoolean();
            boolean reached = in.unpackBoolean();
            long term = in.unpackLong();
            int jobs = in.unpackMapHeader();
            ImmutableMap.Builder<String, Progress> progress = ImmutableMap.builder();
            for (int i = 0; i < jobs; i++) {
                String id = in.unpackString();
                in.unpackArrayHeader();
                progress.put(id, new Progress(in.unpackInt(), in.unpackInt()));
            }
            ImmutableList.Builder<String> cancelled = ImmutableList.builder();
            for (int i = in.unpackArrayHeader(); i > 0; i--) {
                cancelled.add(in.unpackString());
            }
            MemberVersion version =
                    fields < FIELDS ? MemberVersion.UNANNOUNCED : new MemberVersion(in.unpackInt(), in.unpackString());
            return new PeerHeartbeat(
                    host, serves, reached, term, progress.buildKeepingLast(), cancelled.build(), version);
        } catch (IOException | MessagePackException e) {
            throw new BadMessageException("not a heartbeat: " + e.getClass().getSimpleName());
        }
    }
}
