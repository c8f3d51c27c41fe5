package org.spruceridge.peer;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.peer.PeerReceipts.Receipt;
import org.spruceridge.progress.Progress;
import org.spruceridge.progress.ProgressReport;
import org.spruceridge.progress.ProgressReportCodec;

/**
 * Encodes and decodes peer heartbeats as MessagePack arrays. Later versions can append fields; older readers ignore
 * them.
 */
public final class PeerHeartbeatCodec {
    /** The number of fields in a heartbeat of version 0.1. Nodes of that version ignore any further fields. */
    private static final int VERSION_0_1_FIELD_COUNT = 6;

    /** The number of fields up to the version of the sender. */
    private static final int VERSION_FIELD_COUNT = VERSION_0_1_FIELD_COUNT + 2;

    private static final int FIELD_COUNT = VERSION_FIELD_COUNT + 5;
    private static final int MAX_PROGRESS_ENTRIES = 5000;

    private PeerHeartbeatCodec() {}

    /**
     * Encodes a heartbeat as a frame. The frame contains the progress of at most the first 5000 jobs. If there are more,
     * the frame says that the progress is incomplete.
     */
    public static byte[] encode(PeerHeartbeat heartbeat) {
        try (MessageBufferPacker packer = MessagePack.newDefaultBufferPacker()) {
            ProgressReport progress = heartbeat.progress();
            packer.packArrayHeader(FIELD_COUNT);
            packer.packString(heartbeat.hostName());
            packer.packBoolean(heartbeat.stateServiceReachable());
            packer.packBoolean(heartbeat.receivesWorkerHeartbeats());
            packer.packLong(heartbeat.term());
            ProgressReportCodec.packProgress(packer, progress.progress(), MAX_PROGRESS_ENTRIES);
            ProgressReportCodec.packIds(packer, heartbeat.cancelledJobs());
            packer.packInt(heartbeat.version().supportedLevel());
            packer.packString(heartbeat.version().name());
            packer.packLong(heartbeat.sentAtNanos());
            packer.packBoolean(progress.complete() && fits(progress));
            ProgressReportCodec.packIds(packer, fits(progress) ? progress.unknownJobs() : ImmutableSet.of());
            packReceipts(packer, heartbeat.receipts());
            return packer.toByteArray();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static boolean fits(ProgressReport progress) {
        return progress.progress().size() <= MAX_PROGRESS_ENTRIES
                && progress.unknownJobs().size() <= MAX_PROGRESS_ENTRIES;
    }

    /** Decodes a frame. Throws {@link BadMessageException} if the frame has too few fields or is not a heartbeat. */
    public static PeerHeartbeat decode(byte[] frame) throws BadMessageException {
        try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(frame)) {
            int fieldCount = unpacker.unpackArrayHeader();
            if (fieldCount < VERSION_0_1_FIELD_COUNT) {
                throw new BadMessageException("a peer heartbeat has fewer than 6 fields");
            }
            return unpack(unpacker, fieldCount);
        } catch (IOException | MessagePackException e) {
            throw new BadMessageException("not a heartbeat: " + e.getClass().getSimpleName());
        }
    }

    private static PeerHeartbeat unpack(MessageUnpacker unpacker, int fieldCount) throws IOException {
        String hostName = unpacker.unpackString();
        boolean stateServiceReachable = unpacker.unpackBoolean();
        boolean receivesWorkerHeartbeats = unpacker.unpackBoolean();
        long term = unpacker.unpackLong();
        ImmutableMap<String, Progress> progress = ProgressReportCodec.unpackProgress(unpacker);
        ImmutableList<String> cancelledJobs =
                ProgressReportCodec.unpackIds(unpacker).asList();
        MemberVersion version = unpackVersion(unpacker, fieldCount);
        boolean hasReportFields = fieldCount >= FIELD_COUNT;
        long sentAtNanos = hasReportFields ? unpacker.unpackLong() : PeerHeartbeat.NOT_STAMPED;
        boolean complete = !hasReportFields || unpacker.unpackBoolean();
        ImmutableSet<String> unknownJobs =
                hasReportFields ? ProgressReportCodec.unpackIds(unpacker) : ImmutableSet.of();
        return new PeerHeartbeat(
                hostName,
                stateServiceReachable,
                receivesWorkerHeartbeats,
                term,
                new ProgressReport(sentAtNanos, complete, progress, unknownJobs),
                cancelledJobs,
                version,
                sentAtNanos,
                hasReportFields ? unpackReceipts(unpacker) : PeerReceipts.NOT_ANNOUNCED);
    }

    private static void packReceipts(MessageBufferPacker packer, PeerReceipts receipts) throws IOException {
        packer.packLong(receipts.leaderTerm());
        packer.packMapHeader(receipts.latest().size());
        for (Map.Entry<String, Receipt> receipt : receipts.latest().entrySet()) {
            packer.packString(receipt.getKey());
            packer.packArrayHeader(2);
            packer.packLong(receipt.getValue().sentAtNanos());
            packer.packLong(receipt.getValue().receivedAtNanos());
        }
    }

    private static PeerReceipts unpackReceipts(MessageUnpacker unpacker) throws IOException {
        long leaderTerm = unpacker.unpackLong();
        ImmutableMap.Builder<String, Receipt> latest = ImmutableMap.builder();
        int count = unpacker.unpackMapHeader();
        for (int i = 0; i < count; i++) {
            String host = unpacker.unpackString();
            unpacker.unpackArrayHeader();
            latest.put(host, new Receipt(unpacker.unpackLong(), unpacker.unpackLong()));
        }
        return new PeerReceipts(leaderTerm, latest.buildKeepingLast());
    }

    private static MemberVersion unpackVersion(MessageUnpacker unpacker, int fieldCount) throws IOException {
        return fieldCount < VERSION_FIELD_COUNT
                ? MemberVersion.UNANNOUNCED
                : new MemberVersion(unpacker.unpackInt(), unpacker.unpackString());
    }
}
