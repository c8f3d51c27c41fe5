package org.spruceridge.election;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongFunction;
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
 * One attempt of this node to become the leader. Creates a lease, and reads the cluster feature level and the last
 * term. Then writes the leader key and the next term in one transaction. The transaction is executed only if the
 * feature level, the leader key and the term are still at their expected revisions.
 */
final class Campaign {
    private static final long RETRY_DELAY_NANOS = Durations.millis(250);

    /**
     * The result of a successful campaign.
     *
     * @param election the number of the election
     * @param leaderRevision the modRevision of the leader key that the campaign wrote
     */
    record Win(
            LeaderRecord record,
            long election,
            long leaderRevision,
            LeaderLease lease,
            StoredFeatureLevel featureLevel) {}

    private final ElectionContext context;
    private final CancellationScope scope;
    private final StateClient state;
    private final ClusterFeatureLevel clusterLevel;
    private final Candidate candidate;
    private final long expectedLeaderRevision;
    private final Consumer<Optional<Win>> onComplete;

    /**
     * Creates a campaign that succeeds only if the leader key is still at {@code expectedLeaderRevision} (0 if absent).
     * {@code onComplete} receives the win. It receives empty if the campaign failed, or if its outcome was still
     * unknown when the lease became invalid.
     */
    Campaign(
            ElectionContext context,
            ClusterFeatureLevel clusterLevel,
            Candidate candidate,
            long expectedLeaderRevision,
            Consumer<Optional<Win>> onComplete) {
        this.context = context;
        this.scope = context.scope();
        this.state = context.state();
        this.clusterLevel = clusterLevel;
        this.candidate = candidate;
        this.expectedLeaderRevision = expectedLeaderRevision;
        this.onComplete = onComplete;
    }

    void start() {
        LeaderLease.create(context, lease -> {
            if (lease.isPresent()) {
                readFeatureLevel(lease.get());
            } else {
                onComplete.accept(Optional.empty());
            }
        });
    }

    private void readFeatureLevel(LeaderLease lease) {
        clusterLevel.read(Priority.LEASE_RENEWAL, scope.guard(levelResult -> {
            if (levelResult.isOk()) {
                readTerm(lease, levelResult.value());
            } else {
                abandon(lease); // at an unknown level, this node could misread records of other nodes
            }
        }));
    }

    private void readTerm(LeaderLease lease, StoredFeatureLevel level) {
        state.get(StateKeys.TERM, Priority.LEASE_RENEWAL, scope.guard(termResult -> {
            if (termResult.outcome() == StateResult.Outcome.UNAVAILABLE) {
                abandon(lease);
                return;
            }
            long termRevision = termResult.isOk() ? termResult.value().modRevision() : 0;
            TermRecord term = termResult.isOk()
                    ? TermRecord.read(termResult.value().value()).next()
                    : TermRecord.FIRST;
            LeaderRecord record = candidate.leaderRecord(term.term());
            Transaction transaction = Transaction.builder()
                    .compare(StateKeys.FEATURE_LEVEL, level.modRevision())
                    .putWithLease(StateKeys.LEADER, expectedLeaderRevision, record.write(), lease.id())
                    .put(StateKeys.TERM, termRevision, term.write())
                    .build();
            compareAndSwap(transaction, lease, revision -> new Win(record, term.election(), revision, lease, level));
        }));
    }

    private void compareAndSwap(Transaction transaction, LeaderLease lease, LongFunction<Win> winAtRevision) {
        state.commit(transaction, Priority.LEASE_RENEWAL, scope.guard(result -> {
            if (result.outcome() == TransactionResult.Outcome.COMMITTED) {
                onComplete.accept(Optional.of(winAtRevision.apply(result.revision())));
            } else if (result.outcome() == TransactionResult.Outcome.UNKNOWN && lease.isValid()) {
                scope.after(RETRY_DELAY_NANOS, () -> compareAndSwap(transaction, lease, winAtRevision));
            } else {
                abandon(lease); // if the transaction was executed after all, the leader key will show it
            }
        }));
    }

    private void abandon(LeaderLease lease) {
        lease.revoke();
        onComplete.accept(Optional.empty());
    }
}
