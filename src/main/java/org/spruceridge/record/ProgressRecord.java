package org.spruceridge.record;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.progress.Progress;
import org.spruceridge.progress.ProgressReport;
import org.spruceridge.progress.ProgressReportCodec;

/**
 * The stored progress report of the leader. The leader writes it only while another node does not receive its peer
 * heartbeats. A report without room for all jobs is written as incomplete. Versions without this record neither read
 * nor write it, so it needs no feature level.
 *
 * @param term the term of the leader that composed the report
 */
public record ProgressRecord(long term, ProgressReport report) {
    private static final int FIELD_COUNT = 5;
    /** The maximum size of an entry's length prefixes and numbers, in bytes. */
    private static final int ENTRY_OVERHEAD_BYTES = 13;
    /** The maximum size of the time, the flag and the headers, in bytes. */
    private static final int HEADER_BYTES = 40;

    /**
     * Returns the record as JSON, within {@code valueKb} kilobytes.
     *
     * @param firstJob the number of jobs to skip before the first one that is written. If there is no room for all jobs,
     *     each of them gets room in turn if the caller varies this number.
     */
    public ObjectNode write(double valueKb, int firstJob) {
        ProgressReport limited = limitTo(report, PackedValue.capacity(valueKb) - HEADER_BYTES, firstJob);
        return PackedValue.write("", out -> {
            out.packArrayHeader(FIELD_COUNT);
            out.packLong(term);
            out.packLong(limited.composedAtNanos());
            out.packBoolean(limited.complete());
            ProgressReportCodec.packProgress(
                    out, limited.progress(), limited.progress().size());
            ProgressReportCodec.packIds(out, limited.unknownJobs());
        });
    }

    private static ProgressReport limitTo(ProgressReport report, int maxBytes, int firstJob) {
        List<String> ids = new ArrayList<>(report.progress().keySet());
        ids.addAll(report.unknownJobs());
        Map<String, Progress> progress = new LinkedHashMap<>();
        Set<String> unknownJobs = new LinkedHashSet<>();
        int remainingBytes = maxBytes;
        for (int i = 0; i < ids.size(); i++) {
            String id = ids.get((firstJob + i) % ids.size());
            remainingBytes -= id.length() + ENTRY_OVERHEAD_BYTES;
            if (remainingBytes < 0) {
                break;
            }
            if (report.progress().containsKey(id)) {
                progress.put(id, report.progress().get(id));
            } else {
                unknownJobs.add(id);
            }
        }
        boolean hasAll = progress.size() + unknownJobs.size() == ids.size();
        return new ProgressReport(
                report.composedAtNanos(),
                report.complete() && hasAll,
                ImmutableMap.copyOf(progress),
                ImmutableSet.copyOf(unknownJobs));
    }

    /** Reads the record; a {@link BadMessageException} means that it is malformed. */
    public static ProgressRecord read(JsonNode value) throws BadMessageException {
        return PackedValue.read(value, in -> {
            in.unpackArrayHeader();
            long term = in.unpackLong();
            return new ProgressRecord(
                    term,
                    new ProgressReport(
                            in.unpackLong(),
                            in.unpackBoolean(),
                            ProgressReportCodec.unpackProgress(in),
                            ProgressReportCodec.unpackIds(in)));
        });
    }
}
