package org.spruceridge.api;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.cache.Cache;
import com.google.common.cache.CacheBuilder;
import com.google.common.collect.ImmutableMap;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.config.Settings;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Json;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.net.Response;
import org.spruceridge.peer.PeerHeartbeat.Progress;
import org.spruceridge.record.JobRecord;
import org.spruceridge.record.JobSpecMessage;
import org.spruceridge.record.StateKeys;
import org.spruceridge.state.StateClient;
import org.spruceridge.state.StateResult;
import org.spruceridge.state.Transaction;
import org.spruceridge.state.TransactionResult;
import org.spruceridge.upgrade.ClusterFeatureLevel;
import org.spruceridge.upgrade.FeatureLevel;

/** What users ask of any node: submissions, polls and cancellations, each decided by the job's record. */
public final class JobsEndpoint {
    private static final int RETRY_AFTER_S = 1;
    private static final int ENDED_JOBS_CACHED = 20_000;
    /** Users wait 5 s for an answer; within this time an unknown outcome is still asked after. */
    private static final long REQUEST_TIMEOUT_NANOS = Durations.millis(3500);

    private final Loop loop;
    private final StateClient state;
    private final ClusterFeatureLevel level;
    private final int valueBytes;
    private final AdmissionControl admission;
    private final Supplier<Optional<ImmutableMap<String, MachineType>>> catalogue;
    private final Function<String, Progress> progress;
    private final RateLimitedWarnings warnings;
    private final RecentCancellations cancellations;
    /** Ends never change, so they may be answered from memory. */
    private final Cache<String, Ended> ended =
            CacheBuilder.newBuilder().maximumSize(ENDED_JOBS_CACHED).build();

    private record Ended(JobRecord.Stage stage, int tasks) {}

    /** {@code catalogue} gives the machine types once they are known, {@code progress} how far a job has come. */
    public JobsEndpoint(
            Loop loop,
            StateClient state,
            ClusterFeatureLevel level,
            Settings settings,
            Supplier<Optional<ImmutableMap<String, MachineType>>> catalogue,
            Function<String, Progress> progress,
            RateLimitedWarnings warnings,
            RecentCancellations cancellations) {
        this.loop = loop;
        this.state = state;
        this.level = level;
        this.valueBytes = settings.state().valueBytes();
        this.admission = new AdmissionControl(settings.teams());
        this.catalogue = catalogue;
        this.progress = progress;
        this.warnings = warnings;
        this.cancellations = cancellations;
    }

    /** POST /api/jobs. */
    public void submit(byte[] body, Consumer<Response> answer) {
        JsonNode json;
        try {
            json = Json.strictObject(body);
        } catch (BadMessageException e) {
            answer.accept(Response.error(400, e.getMessage()));
            return;
        }
        JobSpec spec;
        try {
            spec = JobSpecMessage.read(json);
        } catch (BadMessageException e) {
            Response refusal = Response.error(400, e.getMessage());
            // An id that was accepted once is never refused, whatever the repeat looks like.
            JobSpecMessage.idOf(json).ifPresentOrElse(id -> lookUp(id, refusal, answer), () -> answer.accept(refusal));
            return;
        }
        Optional<ImmutableMap<String, MachineType>> types = catalogue.get();
        if (types.isEmpty()) {
            lookUp(spec.id(), Response.unavailable(RETRY_AFTER_S, "machine types not known yet"), answer);
            return;
        }
        Optional<String> rejectionReason = admission.rejectionReason(spec, types.get());
        if (rejectionReason.isPresent()) {
            lookUp(spec.id(), Response.error(422, rejectionReason.get()), answer);
            return;
        }
        JobSpec withKnownTypes = AdmissionControl.withKnownTypes(spec, types.get());
        if (spec.isService()) {
            acceptServiceIfSupported(withKnownTypes, answer);
        } else {
            accept(withKnownTypes, answer);
        }
    }

    /** Accepts a service unless nodes of an earlier version may still be around, which could not read its record. */
    private void acceptServiceIfSupported(JobSpec spec, Consumer<Response> answer) {
        if (level.highestKnown().includes(FeatureLevel.SERVICES)) {
            accept(spec, answer);
            return;
        }
        level.read(Priority.SUBMISSIONS, found -> {
            if (level.highestKnown().includes(FeatureLevel.SERVICES)) {
                accept(spec, answer);
            } else {
                lookUp(spec.id(), Response.unavailable(RETRY_AFTER_S, "the cluster is being upgraded"), answer);
            }
        });
    }

    /** GET /api/jobs/{id}. */
    public void poll(String id, Consumer<Response> answer) {
        if (JobSpecMessage.isId(id)) {
            lookUp(id, unknownJob(), answer);
        } else {
            answer.accept(unknownJob());
        }
    }

    /** POST /api/jobs/{id}/abort. */
    public void abort(String id, Consumer<Response> answer) {
        if (JobSpecMessage.isId(id)) {
            abort(id, loop.nanos() + REQUEST_TIMEOUT_NANOS, answer);
        } else {
            answer.accept(unknownJob());
        }
    }

    private void accept(JobSpec spec, Consumer<Response> answer) {
        JobRecord record = JobRecord.open(spec, loop.wallMillis());
        if (!record.fits(valueBytes)) {
            lookUp(spec.id(), jobTooLarge(), answer);
            return;
        }
        Transaction txn = Transaction.builder()
                .put(StateKeys.job(spec.id()), 0, record.write())
                .put(StateKeys.openJob(spec.id()), 0, record.write())
                .build();
        commitUntil(txn, loop.nanos() + REQUEST_TIMEOUT_NANOS, answer, result -> {
            if (result.isCommitted()) {
                answer.accept(Response.of(201, summary(spec.id(), "pending")));
            } else {
                lookUp(spec.id(), stateUnavailable(), answer);
            }
        });
    }

    private void abort(String id, long deadline, Consumer<Response> answer) {
        state.get(StateKeys.job(id), Priority.SUBMISSIONS, found -> {
            if (!found.isOk()) {
                answer.accept(found.outcome() == StateResult.Outcome.NOT_FOUND ? unknownJob() : stateUnavailable());
                return;
            }
            Optional<JobRecord> record = read(id, found.value().value());
            if (record.isEmpty()) {
                answer.accept(Response.error(500, "unreadable record"));
                return;
            }
            if (record.get().stage() != JobRecord.Stage.OPEN) {
                remember(record.get());
                answer.accept(
                        Response.of(200, summary(id, stageName(record.get().stage()))));
                return;
            }
            JobRecord cancelled = record.get().ended(JobRecord.Stage.CANCELLED, loop.wallMillis());
            long modRevision = found.value().modRevision(); // the open entry was written with the record
            Transaction txn = Transaction.builder()
                    .put(StateKeys.job(id), modRevision, cancelled.write(valueBytes))
                    .delete(StateKeys.openJob(id), modRevision)
                    .build();
            commitUntil(txn, deadline, answer, result -> {
                if (result.isCommitted()) {
                    remember(cancelled);
                    cancellations.add(id);
                    answer.accept(Response.of(200, summary(id, "cancelled")));
                } else if (loop.nanos() < deadline) {
                    abort(id, deadline, answer);
                } else {
                    answer.accept(stateUnavailable());
                }
            });
        });
    }

    /** Commits; an unknown outcome is settled by the same transaction again, while the user still waits. */
    private void commitUntil(
            Transaction txn, long deadline, Consumer<Response> answer, Consumer<TransactionResult> onOutcome) {
        state.commit(txn, Priority.SUBMISSIONS, result -> {
            switch (result.outcome()) {
                case COMMITTED, CONFLICT -> onOutcome.accept(result);
                case UNKNOWN -> {
                    if (loop.nanos() < deadline) {
                        commitUntil(txn, deadline, answer, onOutcome);
                    } else {
                        answer.accept(stateUnavailable());
                    }
                }
                case MALFORMED -> answer.accept(
                        stateUnavailable()); // of ours, not of the user's: it was measured before
                default -> answer.accept(stateUnavailable());
            }
        });
    }

    /** Answers with the job's present state, or as given if there is no such job. */
    private void lookUp(String id, Response ifMissing, Consumer<Response> answer) {
        Ended endedJob = ended.getIfPresent(id);
        if (endedJob != null) {
            answer.accept(Response.of(200, endedSummary(id, endedJob)));
            return;
        }
        state.get(StateKeys.job(id), Priority.SUBMISSIONS, found -> {
            if (found.isOk()) {
                answer.accept(read(id, found.value().value())
                        .map(this::currentState)
                        .orElseGet(() -> Response.error(500, "unreadable record")));
            } else {
                answer.accept(found.outcome() == StateResult.Outcome.NOT_FOUND ? ifMissing : stateUnavailable());
            }
        });
    }

    private Response currentState(JobRecord record) {
        String id = record.spec().id();
        if (record.stage() == JobRecord.Stage.OPEN) {
            Progress now = progress.apply(id);
            return Response.of(
                    200,
                    summary(id, now.running() > 0 ? "running" : "pending")
                            .put("done", now.done())
                            .put("running", now.running()));
        }
        remember(record);
        return Response.of(
                200, endedSummary(id, new Ended(record.stage(), record.spec().tasks())));
    }

    private void remember(JobRecord record) {
        ended.put(record.spec().id(), new Ended(record.stage(), record.spec().tasks()));
    }

    private Optional<JobRecord> read(String id, JsonNode value) {
        try {
            return Optional.of(JobRecord.read(value));
        } catch (BadMessageException e) {
            warnings.warn("unreadable job record", id + ": " + e.getMessage());
            return Optional.empty();
        }
    }

    private static ObjectNode summary(String id, String stage) {
        return Json.object().put("nameId", id).put("stage", stage);
    }

    private static ObjectNode endedSummary(String id, Ended endedJob) {
        boolean done = endedJob.stage == JobRecord.Stage.DONE;
        return summary(id, stageName(endedJob.stage))
                .put("done", done ? endedJob.tasks : 0)
                .put("running", 0);
    }

    private static String stageName(JobRecord.Stage stage) {
        return stage == JobRecord.Stage.DONE ? "done" : "cancelled";
    }

    private static Response stateUnavailable() {
        return Response.unavailable(RETRY_AFTER_S, "the state service does not answer now");
    }

    private static Response jobTooLarge() {
        return Response.error(400, "the job is too large to be kept");
    }

    private static Response unknownJob() {
        return Response.error(404, "no such job");
    }
}
