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

/**
 * Cancels jobs. Marks the job record as cancelled by compare-and-swap, and adds the job to the cancellations that this
 * node announces to its peers.
 */
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
            Optional<JobRecord> record =
                    lookup.readRecord(id, readResult.value().value());
            if (record.isEmpty()) {
                onResponse.accept(JobResponses.unreadableRecord());
            } else if (record.get().stage() != JobRecord.Stage.OPEN) {
                lookup.cacheEndedJob(record.get());
                onResponse.accept(
                        JobResponses.cancellationResult(id, record.get().stage()));
            } else {
                commitCancellation(id, record.get(), readResult.value().modRevision(), deadline, onResponse);
            }
        });
    }

    /**
     * {@code modRevision} is the revision of both the job record and the open-job entry, because every transaction that
     * writes one of them writes both.
     */
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
                lookup.cacheEndedJob(cancelledRecord);
                dependencies.cancellations().add(id);
                onResponse.accept(JobResponses.cancellationResult(id, JobRecord.Stage.CANCELLED));
            } else if (transactions.hasTimeLeft(deadline)) {
                cancel(id, deadline, onResponse);
            } else {
                onResponse.accept(JobResponses.stateUnavailable());
            }
        });
    }
}
