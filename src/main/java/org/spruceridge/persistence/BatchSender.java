package org.spruceridge.persistence;

import com.google.common.collect.ImmutableList;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.state.StateClient;
import org.spruceridge.state.StateResult;
import org.spruceridge.state.TransactionResult;

/**
 * Retries a transaction unchanged until its outcome is known. After an attempt with an unknown outcome, a conflict can
 * mean that this attempt was committed. The value of one of the written keys then shows whether any attempt was
 * committed.
 */
final class BatchSender {
    static final long INITIAL_RETRY_DELAY_NANOS = Durations.millis(100);
    private static final long MAX_RETRY_DELAY_NANOS = Durations.millis(1600);

    private final StateClient state;
    private final CancellationScope scope;
    private final Listener listener;

    /** Receives the final outcome of each batch. */
    interface Listener {
        void onBatchCommitted(WriteBatch batch, long revision);

        void onBatchConflict(WriteBatch batch, ImmutableList<String> conflictingKeys);

        /** Called when the state service rejects the transaction and a retry cannot succeed. */
        void onBatchRejected();
    }

    BatchSender(StateClient state, CancellationScope scope, Listener listener) {
        this.state = state;
        this.scope = scope;
        this.listener = listener;
    }

    /** Handles the result of the first attempt. */
    void onFirstResult(WriteBatch batch, TransactionResult result) {
        onResult(batch, result, INITIAL_RETRY_DELAY_NANOS);
    }

    private void onResult(WriteBatch batch, TransactionResult result, long retryDelayNanos) {
        switch (result.outcome()) {
            case COMMITTED -> listener.onBatchCommitted(batch, result.revision());
            case CONFLICT -> {
                if (batch.isOutcomeUnknown()) {
                    verifyOutcome(batch, result.conflictingKeys());
                } else {
                    listener.onBatchConflict(batch, result.conflictingKeys());
                }
            }
            case UNKNOWN -> {
                batch.markOutcomeUnknown();
                scheduleRetry(batch, retryDelayNanos);
            }
            case NOT_EXECUTED -> scheduleRetry(batch, retryDelayNanos);
            default -> listener.onBatchRejected();
        }
    }

    private void scheduleRetry(WriteBatch batch, long delayNanos) {
        scope.after(delayNanos, () -> retry(batch, Math.min(MAX_RETRY_DELAY_NANOS, delayNanos * 2)));
    }

    private void retry(WriteBatch batch, long nextDelayNanos) {
        state.commit(
                batch.transaction(), batch.priority(), scope.guard(result -> onResult(batch, result, nextDelayNanos)));
    }

    private void verifyOutcome(WriteBatch batch, ImmutableList<String> conflictingKeys) {
        state.get(batch.verificationKey(), batch.priority(), scope.guard(result -> {
            if (result.outcome() == StateResult.Outcome.UNAVAILABLE) {
                scope.after(INITIAL_RETRY_DELAY_NANOS, () -> verifyOutcome(batch, conflictingKeys));
            } else if (result.isOk() && batch.hasWritten(result.value().value())) {
                listener.onBatchCommitted(batch, result.value().modRevision());
            } else {
                listener.onBatchConflict(batch, conflictingKeys);
            }
        }));
    }
}
