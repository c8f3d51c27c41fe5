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
 * Completes a rolling upgrade: while this node leads, it raises the cluster feature level once every member listed in
 * the settings has announced support for the next level.
 *
 * <p>The transaction compares two mod revisions. The comparison for the leader key ensures that only the current leader
 * can raise the level. The comparison for the key of the level ensures that a delayed duplicate has no effect.
 */
public final class FeatureLevelUpgrader {
    private static final long RETRY_INTERVAL_NANOS = Durations.millis(500);

    private final CancellationScope scope;
    private final StateClient state;
    private final ClusterFeatureLevel clusterLevel;
    private final long leaderRevision;
    private final BooleanSupplier allMembersSupportNext;
    private final Runnable onRaised;
    private StoredFeatureLevel storedLevel;

    /**
     * Creates an upgrader for one term.
     *
     * @param scope cancels the pending work of this term when the term ends
     * @param storedLevel the level that was read during the election
     * @param leaderRevision the mod revision of the leader key in this term
     * @param allMembersSupportNext returns whether all members recently announced support for {@link
     *     FeatureLevel#SUPPORTED}
     * @param onRaised runs once the level has been raised
     */
    public FeatureLevelUpgrader(
            CancellationScope scope,
            StateClient state,
            ClusterFeatureLevel clusterLevel,
            StoredFeatureLevel storedLevel,
            long leaderRevision,
            BooleanSupplier allMembersSupportNext,
            Runnable onRaised) {
        this.scope = scope;
        this.state = state;
        this.clusterLevel = clusterLevel;
        this.storedLevel = storedLevel;
        this.leaderRevision = leaderRevision;
        this.allMembersSupportNext = allMembersSupportNext;
        this.onRaised = onRaised;
    }

    /** Raises the level once all members support the next level. Does nothing if the level is already the highest. */
    public void start() {
        if (storedLevel.level().includes(FeatureLevel.SUPPORTED)) {
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
                .put(StateKeys.FEATURE_LEVEL, storedLevel.modRevision(), FeatureLevel.SUPPORTED.write())
                .build();
        state.commit(transaction, Priority.SCHEDULING, scope.guard(result -> {
            if (result.outcome() == TransactionResult.Outcome.COMMITTED) {
                storedLevel = new StoredFeatureLevel(FeatureLevel.SUPPORTED, result.revision());
                clusterLevel.updateHighestKnown(FeatureLevel.SUPPORTED);
                onRaised.run();
            } else {
                scope.after(RETRY_INTERVAL_NANOS, this::rereadLevel);
            }
        }));
    }

    /** Reads the level again after the transaction was rejected or its outcome is unknown. */
    private void rereadLevel() {
        clusterLevel.read(Priority.SCHEDULING, scope.guard(levelResult -> {
            if (levelResult.isOk()) {
                storedLevel = levelResult.value();
                if (storedLevel.level().includes(FeatureLevel.SUPPORTED)) {
                    onRaised.run();
                }
            }
            if (levelResult.outcome() != StateResult.Outcome.UNSUPPORTED_VALUE) {
                start();
            }
        }));
    }
}
