package org.spruceridge.upgrade;

import java.util.function.BooleanSupplier;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.record.StateKeys;
import org.spruceridge.state.StateClient;
import org.spruceridge.state.StateResult;
import org.spruceridge.state.Transaction;
import org.spruceridge.state.TransactionResult;

/**
 * Completes a rolling upgrade: while this node leads, it raises the cluster feature level once every member of the
 * settings has announced that it supports the next. The transaction is conditional on the leader key, so that only the
 * present leader raises the level, and on the modRevision of the level, so that a delayed copy has no effect.
 */
public final class FeatureLevelUpgrader {
    private static final long RETRY_INTERVAL_NANOS = Durations.millis(500);

    private final CancellationScope scope;
    private final StateClient state;
    private final ClusterFeatureLevel clusterLevel;
    private final long leaderRevision;
    private final BooleanSupplier allMembersSupportNext;
    private final Runnable raised;
    private StoredFeatureLevel stored;

    /**
     * Begins from the level that the election found.
     *
     * @param scope all that this term has pending
     * @param leaderRevision the modRevision of the leader key of this term
     * @param allMembersSupportNext whether all members have lately announced {@link FeatureLevel#SUPPORTED}
     * @param raised runs once the level is raised
     */
    public FeatureLevelUpgrader(
            CancellationScope scope,
            StateClient state,
            ClusterFeatureLevel clusterLevel,
            StoredFeatureLevel stored,
            long leaderRevision,
            BooleanSupplier allMembersSupportNext,
            Runnable raised) {
        this.scope = scope;
        this.state = state;
        this.clusterLevel = clusterLevel;
        this.stored = stored;
        this.leaderRevision = leaderRevision;
        this.allMembersSupportNext = allMembersSupportNext;
        this.raised = raised;
    }

    /** Raises the level as soon as all members support the next; does nothing if it is at the highest already. */
    public void start() {
        if (stored.level().includes(FeatureLevel.SUPPORTED)) {
            return;
        }
        if (allMembersSupportNext.getAsBoolean()) {
            raise();
        } else {
            scope.after(RETRY_INTERVAL_NANOS, this::start);
        }
    }

    private void raise() {
        Transaction transaction = Transaction.builder()
                .compare(StateKeys.LEADER, leaderRevision)
                .put(StateKeys.FEATURE_LEVEL, stored.modRevision(), FeatureLevel.SUPPORTED.write())
                .build();
        state.commit(transaction, Priority.SCHEDULING, scope.guard(result -> {
            if (result.outcome() == TransactionResult.Outcome.COMMITTED) {
                stored = new StoredFeatureLevel(FeatureLevel.SUPPORTED, result.revision());
                clusterLevel.noteStored(FeatureLevel.SUPPORTED);
                raised.run();
            } else {
                scope.after(RETRY_INTERVAL_NANOS, this::readAgain);
            }
        }));
    }

    /** The transaction was refused, or its outcome is unknown: the record shows the level. */
    private void readAgain() {
        clusterLevel.read(Priority.SCHEDULING, scope.guard(found -> {
            if (found.isOk()) {
                stored = found.value();
                if (stored.level().includes(FeatureLevel.SUPPORTED)) {
                    raised.run();
                }
            }
            if (found.outcome() != StateResult.Outcome.UNSUPPORTED_VALUE) {
                start();
            }
        }));
    }
}
