package org.spruceridge.failover;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Set;
import java.util.function.BiConsumer;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.record.StateKeys;
import org.spruceridge.state.Entry;
import org.spruceridge.state.StateClient;
import org.spruceridge.state.StateResult;

/** Reads the records of jobs one by one, a bounded number of them at a time. */
final class CancelledJobsReader {
    /** Enough for a state service that answers slowly, and few enough to let lease renewals in between. */
    private static final int MAX_CONCURRENT_READS = 16;

    private final CancellationScope scope;
    private final StateClient state;
    private final BiConsumer<String, Entry> found;
    private final Runnable done;
    private final Deque<String> unread = new ArrayDeque<>();
    private int pendingReads;

    /** {@code found} receives the id and entry of each job that has a record; {@code done} runs once at the end. */
    CancelledJobsReader(CancellationScope scope, StateClient state, BiConsumer<String, Entry> found, Runnable done) {
        this.scope = scope;
        this.state = state;
        this.found = found;
        this.done = done;
    }

    /** Reads the records of these jobs, in the order of the set. */
    void read(Set<String> ids) {
        unread.addAll(ids);
        readNext();
    }

    private void readNext() {
        while (!unread.isEmpty() && pendingReads < MAX_CONCURRENT_READS) {
            pendingReads++;
            read(unread.remove());
        }
        if (pendingReads == 0) {
            done.run();
        }
    }

    private void read(String id) {
        state.get(StateKeys.job(id), Priority.LEASE_RENEWAL, scope.guard(result -> {
            if (result.outcome() == StateResult.Outcome.UNAVAILABLE) {
                scope.after(Failover.RETRY_DELAY_NANOS, () -> read(id));
                return;
            }
            if (result.isOk()) {
                found.accept(id, result.value());
            }
            pendingReads--;
            readNext();
        }));
    }
}
