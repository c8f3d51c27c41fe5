package org.spruceridge.api;

import java.util.Optional;
import java.util.function.Consumer;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.net.Response;
import org.spruceridge.record.JobRecord;
import org.spruceridge.record.StateKeys;
import org.spruceridge.state.StateClient;
import org.spruceridge.state.StateResult;
import org.spruceridge.state.Transaction;

/** Cancels jobs: marks the job record as cancelled by compare-and-swap, and announces the cancellation to the peers. */
final class JobCancellation {
    private final JobsEndpoint.Dependencies dependencies;
    private final StateClient state;
    private final int valueBytes;
    private final JobLookup lookup;
    private final JobTransactions transactions;

    JobCancellation(JobsEndpoint.Dependencies dependencies, JobLookup lookup, JobTransactions transactions) {
        this.dependencies = dependencies;
        this.state = dependencies.state();
        this.valueBytes = dependencies.settings().state().valueBytes();
        this.lookup = lookup;
        this.transactions = transactions;
    }

    void cancel(String id, Consumer<Response> onResponse) {
        cancel(id, transactions.newDeadline(), onResponse);
    }

    private void cancel(String id, long deadline, Consumer<Response> onResponse) {
        state.get(StateKeys.job(id), Priority.SUBMISSIONS, readResult -> {
            if (!readResult.isOk()) {
                boolean isMissing = readResult.outcome() == StateResult.Outcome.NOT_FOUND;
                onResponse.accept(isMissing ? JobResponses.unknownJob() : JobResponses.stateUnavailable());
                return;
            }
            Optional<JobRecord> record = lookup.read(id, readResult.value().value());
            if (record.isEmpty()) {
                onResponse.accept(JobResponses.unreadableRecord());
            } else if (record.get().stage() != JobRecord.Stage.OPEN) {
                lookup.cache(record.get());
                onResponse.accept(
                        JobResponses.cancellationResult(id, record.get().stage()));
            } else {
                commitCancellation(id, record.get(), readResult.value().modRevision(), deadline, onResponse);
            }
        });
    }

    /** {@code modRevision} applies to both the job record and the open-job entry: both are always written together. */
    private void commitCancellation(
            String id, JobRecord openRecord, long modRevision, long deadline, Consumer<Response> onResponse) {
        JobRecord cancelledRecord =
                openRecord.ended(JobRecord.Stage.CANCELLED, dependencies.loop().wallMillis());
        Transaction transaction = Transaction.builder()
                .put(StateKeys.job(id), modRevision, cancelledRecord.write(valueBytes))
                .delete(StateKeys.openJob(id), modRevision)
                .build();
        transactions.commit(transaction, deadline, onResponse, result -> {
            if (result.isCommitted()) {
                lookup.cache(cancelledRecord);
                dependencies.cancellations().add(id);
                onResponse.accept(JobResponses.cancellationResult(id, JobRecord.Stage.CANCELLED));
            } else if (transactions.isBefore(deadline)) {
                cancel(id, deadline, onResponse);
            } else {
                onResponse.accept(JobResponses.stateUnavailable());
            }
        });
    }
}
