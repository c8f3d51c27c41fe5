package org.spruceridge.node;

import org.spruceridge.config.Settings;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.record.StateKeys;
import org.spruceridge.record.TermRecord;
import org.spruceridge.state.Entry;
import org.spruceridge.state.StateClient;
import org.spruceridge.state.StateResult;

/**
 * Proves that no task runs because there has been no leader for so long that the lease of every worker has expired. The
 * leader key is read about once a second. While it is absent, the term is read too: it shows whether a leader was
 * elected and resigned between two reads. All times are nanoseconds on the monotonic clock.
 */
final class LeaderAbsence {
    /** The time added to a lease duration for late timers of a worker. Clock drift is added too. */
    private static final double LEASE_MARGIN_S = 1;
    /** The maximum age of the last read. A leader elected since then cannot have started a task for much longer. */
    private static final long MAX_READ_AGE_NANOS = Durations.nanos(2);

    private static final long NOT_ABSENT = Long.MAX_VALUE;

    private final Loop loop;
    private final StateClient state;
    private final long leaseNanos;
    private long absentSince = NOT_ABSENT;
    private long confirmedAt = Long.MIN_VALUE / 2;
    private long term;

    LeaderAbsence(Loop loop, StateClient state, Settings settings) {
        this.loop = loop;
        this.state = state;
        this.leaseNanos = Durations.nanos(
                settings.workers().leaseS() * (1 + 2 * Durations.MAX_CLOCK_DRIFT_RATIO) + LEASE_MARGIN_S);
    }

    /** Records the result of a read of the leader key that was sent at {@code sentAt}. */
    void recordRead(StateResult<Entry> leaderKey, long sentAt) {
        if (leaderKey.outcome() == StateResult.Outcome.NOT_FOUND) {
            state.get(StateKeys.TERM, Priority.LEASE_RENEWAL, termRead -> recordAbsence(termRead, sentAt));
        } else if (leaderKey.isOk()) {
            absentSince = NOT_ABSENT;
        }
    }

    private void recordAbsence(StateResult<Entry> termRead, long sentAt) {
        if (!termRead.isOk() && termRead.outcome() != StateResult.Outcome.NOT_FOUND) {
            return;
        }
        long currentTerm =
                termRead.isOk() ? TermRecord.read(termRead.value().value()).term() : 0;
        if (absentSince == NOT_ABSENT || currentTerm != term) {
            // An absent key says that no leader holds a lease now. Whether one held it until now is not known.
            absentSince = loop.nanos();
        }
        term = currentTerm;
        confirmedAt = sentAt;
    }

    /** True if there has been no leader for longer than a worker's lease, so that no worker runs a task any more. */
    boolean provesThatNoTaskRuns() {
        long now = loop.nanos();
        return absentSince != NOT_ABSENT && now - absentSince > leaseNanos && now - confirmedAt < MAX_READ_AGE_NANOS;
    }
}
