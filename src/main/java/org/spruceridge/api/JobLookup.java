package org.spruceridge.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.util.Optional;
import java.util.function.Consumer;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.net.Response;
import org.spruceridge.progress.Progress;
import org.spruceridge.progress.ProgressFreshness;
import org.spruceridge.progress.ProgressSource;
import org.spruceridge.record.JobRecord;
import org.spruceridge.record.StateKeys;
import org.spruceridge.state.Entry;
import org.spruceridge.state.StateClient;
import org.spruceridge.state.StateResult;

/** Looks up the state of a job, in the cache of ended jobs or in the job record in the state service. */
final class JobLookup {
    private static final int MAX_CACHED_JOBS = 20_000;

    /** The maximum age of a read that shows a job as not ended or unknown. Users wait this long for the state of a job. */
    private static final long MAX_READ_AGE_NANOS = Durations.nanos(2);

    private final Loop loop;
    private final StateClient state;
    private final ProgressSource progress;
    private final ProgressFreshness freshness;
    private final RateLimitedWarnings warnings;
    /** The record of an ended job never changes, so it can be cached. */
    private final Cache<String, EndedJob> endedJobs =
            CacheBuilder.newBuilder().maximumSize(MAX_CACHED_JOBS).build();

    private record EndedJob(JobRecord.Stage stage, int taskCount) {
        static EndedJob of(JobRecord record) {
            return new EndedJob(record.stage(), record.spec().taskCount());
        }
    }

    JobLookup(JobsEndpoint.Dependencies dependencies) {
        this.loop = dependencies.loop();
        this.state = dependencies.state();
        this.progress = dependencies.progress();
        this.freshness = dependencies.freshness();
        this.warnings = dependencies.warnings();
    }

    /**
     * Passes the job's current state to {@code onResponse}, or {@code ifMissing} if the job does not exist. If the
     * state cannot be read, or was read too long ago, or if the progress of an open job is not known, the response
     * asks the user to retry.
     */
    void lookUp(String id, Response ifMissing, Consumer<Response> onResponse) {
        EndedJob endedJob = endedJobs.getIfPresent(id);
        if (endedJob != null) {
            onResponse.accept(JobResponses.ended(id, endedJob.stage, endedJob.taskCount));
            return;
        }
        long askedAt = loop.nanos();
        state.get(StateKeys.job(id), Priority.SUBMISSIONS, readResult -> {
            Optional<JobRecord> record =
                    readResult.isOk() ? readRecord(id, readResult.value().value()) : Optional.empty();
            if (record.isPresent() && record.get().stage() != JobRecord.Stage.OPEN) {
                cacheEndedJob(record.get());
                onResponse.accept(JobResponses.ended(
                        id, record.get().stage(), record.get().spec().taskCount()));
            } else if (isTooOld(askedAt)) {
                onResponse.accept(JobResponses.stateUnavailable());
            } else if (record.isPresent()) {
                describeOpen(record.get(), askedAt, onResponse);
            } else {
                onResponse.accept(withoutRecord(readResult, ifMissing));
            }
        });
    }

    private static Response withoutRecord(StateResult<Entry> readResult, Response ifMissing) {
        return switch (readResult.outcome()) {
            case OK -> JobResponses.unreadableRecord();
            case NOT_FOUND -> ifMissing;
            default -> JobResponses.stateUnavailable();
        };
    }

    /** If this node was paused or slow, the job can have been accepted or have ended since the read. */
    private boolean isTooOld(long askedAt) {
        return loop.nanos() - askedAt > MAX_READ_AGE_NANOS;
    }

    private void describeOpen(JobRecord record, long askedAt, Consumer<Response> onResponse) {
        String id = record.spec().id();
        progress.find(id, found -> {
            if (isTooOld(askedAt)) {
                onResponse.accept(JobResponses.stateUnavailable());
            } else if (found.isPresent()) {
                onResponse.accept(JobResponses.open(id, found.get()));
            } else if (freshness.isNewSubmission(record.submittedMs(), loop.wallMillis())) {
                onResponse.accept(JobResponses.open(id, Progress.NONE));
            } else {
                onResponse.accept(JobResponses.progressUnknown());
            }
        });
    }

    /** Parses a job record. Logs a warning and returns empty if the record is unreadable. */
    Optional<JobRecord> readRecord(String id, JsonNode value) {
        try {
            return Optional.of(JobRecord.read(value));
        } catch (BadMessageException e) {
            warnings.warn("unreadable job record", "job=" + id + " reason=" + e.getMessage());
            return Optional.empty();
        }
    }

    void cacheEndedJob(JobRecord ended) {
        endedJobs.put(ended.spec().id(), EndedJob.of(ended));
    }
}
