package org.spruceridge.api;

import java.util.function.Consumer;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.net.Response;
import org.spruceridge.state.StateClient;
import org.spruceridge.state.Transaction;
import org.spruceridge.state.TransactionResult;

/** Commits the transactions of user requests, with retries while the user is still waiting for the response. */
final class JobTransactions {
    /** A request is not retried after this time, because users wait 5 s for a response. */
    private static final long REQUEST_TIMEOUT_NANOS = Durations.millis(3500);

    private final Loop loop;
    private final StateClient state;

    JobTransactions(Loop loop, StateClient state) {
        this.loop = loop;
        this.state = state;
    }

    /** The deadline for retries of a request that arrives now, in nanoseconds on the loop's clock. */
    long newDeadline() {
        return loop.nanos() + REQUEST_TIMEOUT_NANOS;
    }

    boolean isBefore(long deadline) {
        return loop.nanos() < deadline;
    }

    /**
     * Commits the transaction. If the outcome is unknown, the same transaction is sent again: its preconditions make it
     * idempotent. {@code onCommitOrConflict} receives a commit or a conflict; in all other cases the response asks the
     * user to retry.
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
                    if (isBefore(deadline)) {
                        commit(transaction, deadline, onResponse, onCommitOrConflict);
                    } else {
                        onResponse.accept(JobResponses.stateUnavailable());
                    }
                }
                    // The size was checked beforehand, so a rejection is a server error and not a user error.
                default -> onResponse.accept(JobResponses.stateUnavailable());
            }
        });
    }
}
