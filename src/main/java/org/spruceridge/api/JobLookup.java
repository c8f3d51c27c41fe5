package org.spruceridge.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.net.Response;
import org.spruceridge.peer.PeerHeartbeat.Progress;
import org.spruceridge.record.JobRecord;
import org.spruceridge.record.StateKeys;
import org.spruceridge.state.StateClient;
import org.spruceridge.state.StateResult;

/** Looks up the state of a job, in the cache of ended jobs or in the job record in the state service. */
final class JobLookup {
    private static final int MAX_CACHED_JOBS = 20_000;

    private final StateClient state;
    private final Function<String, Progress> progress;
    private final RateLimitedWarnings warnings;
    /** The record of an ended job never changes, so it can be cached. */
    private final Cache<String, EndedJob> endedJobs =
            CacheBuilder.newBuilder().maximumSize(MAX_CACHED_JOBS).build();

    private record EndedJob(JobRecord.Stage stage, int taskCount) {
        static EndedJob of(JobRecord record) {
            return new EndedJob(record.stage(), record.spec().taskCount());
        }
    }

    JobLookup(StateClient state, Function<String, Progress> progress, RateLimitedWarnings warnings) {
        this.state = state;
        this.progress = progress;
        this.warnings = warnings;
    }

    /**
     * Passes the job's current state to {@code onResponse}, or {@code ifMissing} if the job does not exist. If the
     * state cannot be read, the response is an error.
     */
    void lookUp(String id, Response ifMissing, Consumer<Response> onResponse) {
        EndedJob endedJob = endedJobs.getIfPresent(id);
        if (endedJob != null) {
            onResponse.accept(JobResponses.ended(id, endedJob.stage, endedJob.taskCount));
            return;
        }
        state.get(StateKeys.job(id), Priority.SUBMISSIONS, readResult -> {
            if (readResult.isOk()) {
                onResponse.accept(readRecord(id, readResult.value().value())
                        .map(this::describe)
                        .orElseGet(JobResponses::unreadableRecord));
            } else {
                onResponse.accept(
                        readResult.outcome() == StateResult.Outcome.NOT_FOUND
                                ? ifMissing
                                : JobResponses.stateUnavailable());
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

    private Response describe(JobRecord record) {
        String id = record.spec().id();
        if (record.stage() == JobRecord.Stage.OPEN) {
            return JobResponses.open(id, progress.apply(id));
        }
        cacheEndedJob(record);
        return JobResponses.ended(id, record.stage(), record.spec().taskCount());
    }
}
