package org.spruceridge.node;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.progress.LeaderClock;
import org.spruceridge.progress.Progress;
import org.spruceridge.progress.ProgressFreshness;
import org.spruceridge.progress.ProgressReport;
import org.spruceridge.progress.ProgressSource;
import org.spruceridge.record.ProgressRecord;
import org.spruceridge.record.StateKeys;
import org.spruceridge.state.Entry;
import org.spruceridge.state.StateClient;
import org.spruceridge.state.StateResult;

/**
 * Reads the progress that the leader publishes in the state service. At most one read is in flight, and its result
 * serves all requests of the next half second, so that users who ask often cause few reads.
 */
final class PublishedProgress implements ProgressSource {
    private static final long REUSE_NANOS = Durations.millis(500);
    /** The time after a request for which the record is read again and again until the clocks are related. */
    private static final long RELATION_TIMEOUT_NANOS = Durations.nanos(10);

    private final Loop loop;
    private final CancellationScope scope;
    private final StateClient state;
    private final LeaderClock leaderClock;
    private final RateLimitedWarnings warnings;
    private final List<Runnable> waiting = new ArrayList<>();
    private ProgressRecord latest = new ProgressRecord(0, ProgressReport.empty(0));
    private long readAtNanos;
    private long readSentAtNanos;
    private long askedAtNanos;
    private boolean isReadScheduled;

    PublishedProgress(Loop loop, StateClient state, LeaderClock leaderClock, RateLimitedWarnings warnings) {
        this.loop = loop;
        this.scope = new CancellationScope(loop);
        this.state = state;
        this.leaderClock = leaderClock;
        this.warnings = warnings;
        this.readAtNanos = loop.nanos() - REUSE_NANOS;
    }

    @Override
    public void find(String jobId, Consumer<Optional<Progress>> onResult) {
        askedAtNanos = loop.nanos();
        Runnable answer = () -> onResult.accept(isCurrent() ? latest.report().of(jobId) : Optional.empty());
        if (loop.nanos() - readAtNanos < REUSE_NANOS) {
            answer.run();
            return;
        }
        waiting.add(answer);
        if (waiting.size() == 1) {
            read();
        }
    }

    private void read() {
        long sentAtNanos = loop.nanos();
        state.get(StateKeys.PROGRESS, Priority.SUBMISSIONS, result -> onRead(result, sentAtNanos));
    }

    private boolean isCurrent() {
        OptionalLong ageNanos =
                leaderClock.maxAgeNanos(latest.term(), latest.report().composedAtNanos(), loop.nanos());
        return ageNanos.isPresent() && ProgressFreshness.isCurrent(ageNanos.getAsLong());
    }

    private void onRead(StateResult<Entry> result, long sentAtNanos) {
        if (result.isOk()) {
            parse(result.value(), sentAtNanos);
        }
        readAtNanos = loop.nanos();
        List<Runnable> answers = List.copyOf(waiting);
        waiting.clear();
        answers.forEach(Runnable::run);
        readAgainUntilRelated();
    }

    /** Only two reads that follow each other soon relate the clocks well, and users may ask seldom. */
    private void readAgainUntilRelated() {
        boolean isWanted = latest.term() > 0 && !isCurrent() && loop.nanos() - askedAtNanos < RELATION_TIMEOUT_NANOS;
        if (isWanted && !isReadScheduled) {
            isReadScheduled = true;
            scope.after(REUSE_NANOS, () -> {
                isReadScheduled = false;
                if (waiting.isEmpty()) {
                    read();
                }
            });
        }
    }

    /** Stops reading. */
    void stop() {
        scope.close();
    }

    /**
     * A record that differs from the one read before was written after that read, and the leader composes a record right
     * before it writes it. This relates the clocks if the leader began its term while no heartbeats arrived.
     */
    private void parse(Entry entry, long sentAtNanos) {
        try {
            ProgressRecord read = ProgressRecord.read(entry.value());
            if (read.term() == latest.term()
                    && read.report().composedAtNanos() > latest.report().composedAtNanos()) {
                leaderClock.record(read.term(), read.report().composedAtNanos(), readSentAtNanos, loop.nanos());
            }
            latest = read;
            readSentAtNanos = sentAtNanos;
        } catch (BadMessageException e) {
            warnings.warn("unreadable progress record", "reason=" + e.getMessage());
        }
    }
}
