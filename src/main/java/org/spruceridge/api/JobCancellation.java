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

/** Cancels jobs: ends the job record by compare-and-swap, and announces the cancellation to the peers. */
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

    void cancel(String id, Consumer<Response> answer) {
        cancel(id, transactions.newDeadline(), answer);
    }

    private void cancel(String id, long deadline, Consumer<Response> answer) {
        state.get(StateKeys.job(id), Priority.SUBMISSIONS, found -> {
            if (!found.isOk()) {
                boolean isMissing = found.outcome() == StateResult.Outcome.NOT_FOUND;
                answer.accept(isMissing ? JobResponses.unknownJob() : JobResponses.stateUnavailable());
                return;
            }
            Optional<JobRecord> record = lookup.read(id, found.value().value());
            if (record.isEmpty()) {
                answer.accept(JobResponses.unreadableRecord());
            } else if (record.get().stage() != JobRecord.Stage.OPEN) {
                lookup.cache(record.get());
                answer.accept(JobResponses.outcome(id, record.get().stage()));
            } else {
                end(id, record.get(), found.value().modRevision(), deadline, answer);
            }
        });
    }

    /** {@code modRevision} is that of the job record and of the open entry, which are always written together. */
    private void end(String id, JobRecord open, long modRevision, long deadline, Consumer<Response> answer) {
        JobRecord cancelled =
                open.ended(JobRecord.Stage.CANCELLED, dependencies.loop().wallMillis());
        Transaction transaction = Transaction.builder()
                .put(StateKeys.job(id), modRevision, cancelled.write(valueBytes))
                .delete(StateKeys.openJob(id), modRevision)
                .build();
        transactions.commit(transaction, deadline, answer, result -> {
            if (result.isCommitted()) {
                lookup.cache(cancelled);
                dependencies.cancellations().add(id);
                answer.accept(JobResponses.outcome(id, JobRecord.Stage.CANCELLED));
            } else if (transactions.isBefore(deadline)) {
                cancel(id, deadline, answer);
            } else {
                answer.accept(JobResponses.stateUnavailable());
            }
        });
    }
}
