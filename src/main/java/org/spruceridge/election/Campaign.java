package org.spruceridge.election;

import java.util.Optional;
import java.util.function.Consumer;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.record.LeaderRecord;
import org.spruceridge.record.StateKeys;
import org.spruceridge.record.TermRecord;
import org.spruceridge.state.StateClient;
import org.spruceridge.state.StateResult;
import org.spruceridge.state.Transaction;
import org.spruceridge.state.TransactionResult;
import org.spruceridge.upgrade.ClusterFeatureLevel;
import org.spruceridge.upgrade.StoredFeatureLevel;

/**
 * One attempt to become the leader: creates a lease, reads the feature level and the last term, and sets the leader key
 * and the next term by a compare-and-swap on all that was read.
 */
final class Campaign {
    private static final long RETRY_DELAY_NANOS = Durations.millis(250);

    /**
     * A campaign that won.
     *
     * @param leaderRevision the modRevision of the leader key that it set
     */
    record Win(LeaderRecord record, long leaderRevision, LeaderLease lease, StoredFeatureLevel featureLevel) {}

    private final ElectionContext context;
    private final CancellationScope scope;
    private final StateClient state;
    private final ClusterFeatureLevel clusterLevel;
    private final Candidate candidate;
    private final long expectedLeaderRevision;
    private final Consumer<Optional<Win>> done;

    /**
     * The campaign succeeds only if the leader key is still at {@code expectedLeaderRevision}, 0 meaning absent.
     * {@code done} receives the win, or nothing if the campaign was lost, refused, or its outcome stays unknown.
     */
    Campaign(
            ElectionContext context,
            ClusterFeatureLevel clusterLevel,
            Candidate candidate,
            long expectedLeaderRevision,
            Consumer<Optional<Win>> done) {
        this.context = context;
        this.scope = context.scope();
        this.state = context.state();
        this.clusterLevel = clusterLevel;
        this.candidate = candidate;
        this.expectedLeaderRevision = expectedLeaderRevision;
        this.done = done;
    }

    void start() {
        LeaderLease.create(context, created -> {
            if (created.isPresent()) {
                readFeatureLevel(created.get());
            } else {
                done.accept(Optional.empty());
            }
        });
    }

    private void readFeatureLevel(LeaderLease lease) {
        clusterLevel.read(Priority.LEASE_RENEWAL, scope.guard(level -> {
            if (level.isOk()) {
                readTerm(lease, level.value());
            } else {
                abandon(lease); // this node could misread what the other nodes write
            }
        }));
    }

    private void readTerm(LeaderLease lease, StoredFeatureLevel level) {
        state.get(StateKeys.TERM, Priority.LEASE_RENEWAL, scope.guard(lastTerm -> {
            if (lastTerm.outcome() == StateResult.Outcome.UNAVAILABLE) {
                abandon(lease);
                return;
            }
            long termRevision = lastTerm.isOk() ? lastTerm.value().modRevision() : 0;
            TermRecord term =
                    lastTerm.isOk() ? TermRecord.read(lastTerm.value().value()).next() : new TermRecord(1);
            LeaderRecord record = candidate.recordOf(term.term());
            Transaction transaction = Transaction.builder()
                    .compare(StateKeys.FEATURE_LEVEL, level.modRevision())
                    .putWithLease(StateKeys.LEADER, expectedLeaderRevision, record.write(), lease.id())
                    .put(StateKeys.TERM, termRevision, term.write())
                    .build();
            compareAndSwap(transaction, record, lease, level);
        }));
    }

    private void compareAndSwap(
            Transaction transaction, LeaderRecord record, LeaderLease lease, StoredFeatureLevel level) {
        state.commit(transaction, Priority.LEASE_RENEWAL, scope.guard(result -> {
            if (result.outcome() == TransactionResult.Outcome.COMMITTED) {
                done.accept(Optional.of(new Win(record, result.revision(), lease, level)));
            } else if (result.outcome() == TransactionResult.Outcome.UNKNOWN && lease.isValid()) {
                scope.after(RETRY_DELAY_NANOS, () -> compareAndSwap(transaction, record, lease, level));
            } else {
                abandon(lease); // the leader key shows who leads, also if this transaction was carried out
            }
        }));
    }

    private void abandon(LeaderLease lease) {
        lease.revoke();
        done.accept(Optional.empty());
    }
}
