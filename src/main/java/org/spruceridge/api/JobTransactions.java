package org.spruceridge.api;

import java.util.function.Consumer;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.net.Response;
import org.spruceridge.state.StateClient;
import org.spruceridge.state.Transaction;
import org.spruceridge.state.TransactionResult;

/** Commits the transactions of user requests, and retries them while the user is still waiting for the response. */
final class JobTransactions {
    /** The time after which a request is no longer retried. Users wait 5 s for a response. */
    private static final long REQUEST_TIMEOUT_NANOS = Durations.millis(3500);

    private final Loop loop;
    private final StateClient state;

    JobTransactions(Loop loop, StateClient state) {
        this.loop = loop;
        this.state = state;
    }

    /** The time after which a request that arrives now is no longer retried, in nanoseconds on the loop's clock. */
    long newDeadline() {
        return loop.nanos() + REQUEST_TIMEOUT_NANOS;
    }

    boolean hasTimeLeft(long deadline) {
        return loop.nanos() < deadline;
    }

    /**
     * Commits the transaction. If the outcome is unknown, sends the same transaction again until the deadline. The
     * preconditions of the transaction make it idempotent. {@code onCommitOrConflict} receives a commit or a conflict.
     * In all other cases {@code onResponse} receives a response that asks the user to retry.
     */
    void commit(
            Transaction transaction,
            long deadline,
            Consumer<Response> onResponse,
            Consumer<TransactionResult> onCommitOrConflict) {
        state.commit(transaction, Priority.SUBMISSIONS, result -> {
            switch (result.outcome()) {
                case COMMITTED, CONFLICT -> onCommitOrConflict.accept(result);
                case UNKNOWN -> {
                    if (hasTimeLeft(deadline)) {
                        commit(transaction, deadline, onResponse, onCommitOrConflict);
                    } else {
                        onResponse.accept(JobResponses.stateUnavailable());
                    }
                }
                    // Callers ensure that records fit the size limit, so a rejection is a server error and not a user
                    // error.
                default -> onResponse.accept(JobResponses.stateUnavailable());
            }
        });
    }
}
