package org.spruceridge.progress;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.io.IOException;
import java.util.Collection;
import java.util.Iterator;
import java.util.Map;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/** The MessagePack encoding of the parts of a progress report, for peer heartbeats and for the state service. */
public final class ProgressReportCodec {
    private ProgressReportCodec() {}

    /** Appends the progress of the first {@code maxEntries} jobs as a map. */
    public static void packProgress(MessagePacker packer, Map<String, Progress> progress, int maxEntries)
            throws IOException {
        int count = Math.min(maxEntries, progress.size());
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

    /** Reads what {@link #packProgress} has written. */
    public static ImmutableMap<String, Progress> unpackProgress(MessageUnpacker unpacker) throws IOException {
        ImmutableMap.Builder<String, Progress> progress = ImmutableMap.builder();
        int count = unpacker.unpackMapHeader();
        for (int i = 0; i < count; i++) {
            String id = unpacker.unpackString();
            unpacker.unpackArrayHeader();
            progress.put(id, new Progress(unpacker.unpackInt(), unpacker.unpackInt()));
        }
        return progress.buildKeepingLast();
    }

    /** Appends the ids of jobs as an array. */
    public static void packIds(MessagePacker packer, Collection<String> ids) throws IOException {
        packer.packArrayHeader(ids.size());
        for (String id : ids) {
            packer.packString(id);
        }
    }

    /** Reads what {@link #packIds} has written. */
    public static ImmutableSet<String> unpackIds(MessageUnpacker unpacker) throws IOException {
        ImmutableSet.Builder<String> ids = ImmutableSet.builder();
        int count = unpacker.unpackArrayHeader();
        for (int i = 0; i < count; i++) {
            ids.add(unpacker.unpackString());
        }
        return ids.build();
    }
}
