package org.spruceridge.term;

import com.google.errorprone.annotations.CanIgnoreReturnValue;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.cluster.Machine;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.record.StateKeys;
import org.spruceridge.record.TermRecord;
import org.spruceridge.state.Entry;
import org.spruceridge.state.StateClient;
import org.spruceridge.state.Transaction;
import org.spruceridge.state.TransactionResult;

/**
 * The fencing tokens of one term. The first token is the term number. The leader can reserve further tokens, which
 * directly follow it, and raise the token of a single worker. The worker then rejects all direct commands that were
 * sent to it with a lower token, however late they or duplicates of them arrive.
 *
 * <p>A reservation raises the stored term, and the transaction compares the leader key. The term of the next leader is
 * therefore higher than all tokens of this term. A reservation that is executed late only leaves tokens unused.
 */
public final class FencingTokens {
    private static final Logger LOG = LoggerFactory.getLogger(FencingTokens.class);

    /** The number of tokens of one reservation. */
    static final int RESERVATION_SIZE = 64;

    private static final long RETRY_DELAY_NANOS = Durations.millis(500);

    private final CancellationScope scope;
    private final StateClient state;
    private final LeaderTerm term;
    private long lastReserved;
    private boolean reservationPending;

    /** Creates the tokens of a term. Only the first token is reserved, by the election. */
    public FencingTokens(LeaderContext context, StateClient state) {
        this.scope = context.scope();
        this.state = state;
        this.term = context.term();
        this.lastReserved = term.term();
    }

    /** The first token of the term. */
    public long first() {
        return term.term();
    }

    /** The token of all commands and responses that are sent to this machine's worker from now on. */
    public long current(Machine machine) {
        return Math.max(term.term(), machine.fencing().raisedToken());
    }

    /** True if this token belongs to this term. A worker that has seen it rejects earlier leaders. */
    public boolean contains(long token) {
        return token >= term.term() && token <= lastReserved;
    }

    /** True if this token belongs to a later term. */
    public boolean isOfLaterTerm(long token) {
        return token > lastReserved;
    }

    /**
     * Raises the token of a machine's worker by one, and returns whether it did. If no token is reserved, requests a
     * reservation instead; callers try again later.
     */
    @CanIgnoreReturnValue
    public boolean raise(Machine machine, long now) {
        long next = current(machine) + 1;
        if (next > lastReserved) {
            reserve();
            return false;
        }
        LOG.debug("fencing token raised term={} machine={} fencingToken={}", term.term(), machine.name(), next);
        machine.fencing().raise(next, now);
        return true;
    }

    private void reserve() {
        if (reservationPending) {
            return;
        }
        reservationPending = true;
        state.get(StateKeys.TERM, Priority.SCHEDULING, scope.guard(result -> {
            if (result.isOk()) {
                commitReservation(result.value());
            } else {
                allowRetry();
            }
        }));
    }

    private void commitReservation(Entry storedTerm) {
        TermRecord reserved = TermRecord.read(storedTerm.value()).withReservedTokens(RESERVATION_SIZE);
        Transaction transaction = Transaction.builder()
                .compare(StateKeys.LEADER, term.leaderRevision())
                .put(StateKeys.TERM, storedTerm.modRevision(), reserved.write())
                .build();
        state.commit(transaction, Priority.SCHEDULING, scope.guard(result -> {
            if (result.outcome() == TransactionResult.Outcome.COMMITTED) {
                lastReserved = reserved.term();
                reservationPending = false;
                LOG.info("fencing tokens reserved term={} last={}", term.term(), lastReserved);
            } else {
                allowRetry(); // the next reservation reads the stored term again
            }
        }));
    }

    private void allowRetry() {
        scope.after(RETRY_DELAY_NANOS, () -> reservationPending = false);
    }
}
