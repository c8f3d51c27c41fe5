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

/** Answers with the state of a job, from its record in the state service or from the cache of ended jobs. */
final class JobLookup {
    private static final int MAX_CACHED_JOBS = 20_000;

    private final StateClient state;
    private final Function<String, Progress> progress;
    private final RateLimitedWarnings warnings;
    /** A job that ended never changes, so it may be answered from memory. */
    private final Cache<String, EndedJob> endedJobs =
            CacheBuilder.newBuilder().maximumSize(MAX_CACHED_JOBS).build();

    private record EndedJob(JobRecord.Stage stage, int tasks) {
        static EndedJob of(JobRecord record) {
            return new EndedJob(record.stage(), record.spec().tasks());
        }
    }

    JobLookup(StateClient state, Function<String, Progress> progress, RateLimitedWarnings warnings) {
        this.state = state;
        this.progress = progress;
        this.warnings = warnings;
    }

    /** Answers with the job's current state, or with {@code ifMissing} if there is no such job. */
    void lookUp(String id, Response ifMissing, Consumer<Response> answer) {
        EndedJob cached = endedJobs.getIfPresent(id);
        if (cached != null) {
            answer.accept(JobResponses.ended(id, cached.stage, cached.tasks));
            return;
        }
        state.get(StateKeys.job(id), Priority.SUBMISSIONS, found -> {
            if (found.isOk()) {
                answer.accept(
                        read(id, found.value().value()).map(this::describe).orElseGet(JobResponses::unreadableRecord));
            } else {
                answer.accept(
                        found.outcome() == StateResult.Outcome.NOT_FOUND ? ifMissing : JobResponses.stateUnavailable());
            }
        });
    }

    /** The job record; empty, after a warning, if it cannot be read. */
    Optional<JobRecord> read(String id, JsonNode value) {
        try {
            return Optional.of(JobRecord.read(value));
        } catch (BadMessageException e) {
            warnings.warn("unreadable job record", "job=" + id + " reason=" + e.getMessage());
            return Optional.empty();
        }
    }

    /** Caches a job that ended. */
    void cache(JobRecord ended) {
        endedJobs.put(ended.spec().id(), EndedJob.of(ended));
    }

    private Response describe(JobRecord record) {
        String id = record.spec().id();
        if (record.stage() == JobRecord.Stage.OPEN) {
            return JobResponses.open(id, progress.apply(id));
        }
        cache(record);
        return JobResponses.ended(id, record.stage(), record.spec().tasks());
    }
}
