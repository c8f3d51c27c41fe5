package org.spruceridge.api;

import java.util.function.Consumer;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.net.Response;
import org.spruceridge.state.StateClient;
import org.spruceridge.state.Transaction;
import org.spruceridge.state.TransactionResult;

/** Commits the transactions of users' requests, and retries while the user still waits for the answer. */
final class JobTransactions {
    /** Users wait 5 s for an answer. After this time a request is no longer retried. */
    private static final long REQUEST_TIMEOUT_NANOS = Durations.millis(3500);

    private final Loop loop;
    private final StateClient state;

    JobTransactions(Loop loop, StateClient state) {
        this.loop = loop;
        this.state = state;
    }

    /** Until when a request that arrives now is retried, on the loop's clock. */
    long newDeadline() {
        return loop.nanos() + REQUEST_TIMEOUT_NANOS;
    }

    boolean isBefore(long deadline) {
        return loop.nanos() < deadline;
    }

    /**
     * Commits the transaction. After an unknown outcome the same transaction is sent again, because its conditions make it
     * idempotent. {@code onOutcome} receives a commit or a conflict; in all other cases the user is told to retry.
     */
    void commit(
            Transaction transaction, long deadline, Consumer<Response> answer, Consumer<TransactionResult> onOutcome) {
        state.commit(transaction, Priority.SUBMISSIONS, result -> {
            switch (result.outcome()) {
                case COMMITTED, CONFLICT -> onOutcome.accept(result);
                case UNKNOWN -> {
                    if (isBefore(deadline)) {
                        commit(transaction, deadline, answer, onOutcome);
                    } else {
                        answer.accept(JobResponses.stateUnavailable());
                    }
                }
                    // The size was checked before, so a rejection is a fault of this service and not of the user.
                default -> answer.accept(JobResponses.stateUnavailable());
            }
        });
    }
}
