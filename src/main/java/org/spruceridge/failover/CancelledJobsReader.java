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

/** Reads job records with one request for each job and a limited number of concurrent requests. */
final class CancelledJobsReader {
    /** High enough for a slow state service, and low enough that lease renewals are sent between the reads. */
    private static final int MAX_CONCURRENT_READS = 16;

    private final CancellationScope scope;
    private final StateClient state;
    private final BiConsumer<String, Entry> onJobRecord;
    private final Runnable onComplete;
    private final Deque<String> unreadJobIds = new ArrayDeque<>();
    private int pendingReads;

    /**
     * {@code onJobRecord} receives the id and entry of each job that has a record. {@code onComplete} runs once, after
     * the last read.
     */
    CancelledJobsReader(
            CancellationScope scope, StateClient state, BiConsumer<String, Entry> onJobRecord, Runnable onComplete) {
        this.scope = scope;
        this.state = state;
        this.onJobRecord = onJobRecord;
        this.onComplete = onComplete;
    }

    /** Reads the records of these jobs in the iteration order of the set. */
    void read(Set<String> jobIds) {
        unreadJobIds.addAll(jobIds);
        readNext();
    }

    private void readNext() {
        while (!unreadJobIds.isEmpty() && pendingReads < MAX_CONCURRENT_READS) {
            pendingReads++;
            read(unreadJobIds.remove());
        }
        if (pendingReads == 0) {
            onComplete.run();
        }
    }

    private void read(String jobId) {
        state.get(StateKeys.job(jobId), Priority.LEASE_RENEWAL, scope.guard(result -> {
            if (result.outcome() == StateResult.Outcome.UNAVAILABLE) {
                scope.after(Failover.RETRY_DELAY_NANOS, () -> read(jobId));
                return;
            }
            if (result.isOk()) {
                onJobRecord.accept(jobId, result.value());
            }
            pendingReads--;
            readNext();
        }));
    }
}
