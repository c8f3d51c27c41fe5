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
 * A leader's duty: raises the cluster feature level once every member of the settings has announced that it supports
 * the next. The transaction is guarded by the leader key, so that only the present leader raises it, and by the stamp of
 * the level, so that a late copy of it changes nothing.
 */
public final class FeatureLevelUpgrader {
    private static final long LOOK_AGAIN = Durations.millis(500);

    private final CancellationScope scope;
    private final StateClient state;
    private final ClusterFeatureLevel level;
    private final BooleanSupplier everyMemberSupports;
    private final long leaderRevision;
    private final Runnable raised;
    private StoredFeatureLevel onRecord;

    /**
     * {@code onRecord} is the level that the election found; {@code everyMemberSupports} tells whether all members were
     * heard with {@link FeatureLevel#SUPPORTED}; {@code raised} runs once the level is on record.
     */
    public FeatureLevelUpgrader(
            CancellationScope scope,
            StateClient state,
            ClusterFeatureLevel level,
            StoredFeatureLevel onRecord,
            long leaderRevision,
            BooleanSupplier everyMemberSupports,
            Runnable raised) {
        this.scope = scope;
        this.state = state;
        this.level = level;
        this.onRecord = onRecord;
        this.leaderRevision = leaderRevision;
        this.everyMemberSupports = everyMemberSupports;
        this.raised = raised;
    }

    /** Begins to look for the moment. */
    public void start() {
        if (onRecord.level().includes(FeatureLevel.SUPPORTED)) {
            return;
        }
        if (everyMemberSupports.getAsBoolean()) {
            raise();
        } else {
            scope.after(LOOK_AGAIN, this::start);
        }
    }

    private void raise() {
        Transaction txn = Transaction.builder()
                .compare(StateKeys.LEADER, leaderRevision)
                .put(StateKeys.FEATURE_LEVEL, onRecord.modRevision(), FeatureLevel.SUPPORTED.write())
                .build();
        state.commit(txn, Priority.SCHEDULING, scope.guard(result -> {
            if (result.outcome() == TransactionResult.Outcome.COMMITTED) {
                onRecord = new StoredFeatureLevel(FeatureLevel.SUPPORTED, result.revision());
                level.raised(FeatureLevel.SUPPORTED);
                raised.run();
            } else {
                scope.after(LOOK_AGAIN, this::readAgain);
            }
        }));
    }

    /** Refused, or unknown and perhaps carried out: the record tells. */
    private void readAgain() {
        level.read(Priority.SCHEDULING, scope.guard(found -> {
            if (found.isOk()) {
                onRecord = found.value();
                if (onRecord.level().includes(FeatureLevel.SUPPORTED)) {
                    raised.run();
                }
            }
            if (found.outcome() != StateResult.Outcome.UNSUPPORTED_VALUE) {
                start();
            }
        }));
    }
}
