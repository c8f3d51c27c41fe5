package org.spruceridge.election;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.Cancellable;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.record.LeaderRecord;
import org.spruceridge.record.StateKeys;
import org.spruceridge.state.Change;
import org.spruceridge.state.Entry;
import org.spruceridge.state.Listing;
import org.spruceridge.state.StateClient;

/**
 * Reads the leader key and watches it from the revision of that read. Reads the key again after a failed read or watch.
 */
final class LeaderKeyWatcher {
    private static final double WATCH_TIMEOUT_S = 20;
    /** The minimum delay of a retry; a random jitter of up to the same length is added to it. */
    private static final long RETRY_DELAY_NANOS = Durations.millis(250);

    /**
     * Stands for a leader record that cannot be parsed. No node has an empty host name, so the record names no node.
     */
    private static final LeaderRecord UNREADABLE = new LeaderRecord("", "", 0);

    private final CancellationScope scope;
    private final StateClient state;
    private final RandomGenerator random;
    private final RateLimitedWarnings warnings;
    private final Consumer<LeaderKeyState> observer;
    private Cancellable watch = () -> {};

    /** {@code observer} receives the state of the key after each read and each change. */
    LeaderKeyWatcher(
            ElectionContext context,
            RandomGenerator random,
            RateLimitedWarnings warnings,
            Consumer<LeaderKeyState> observer) {
        this.scope = context.scope();
        this.state = context.state();
        this.random = random;
        this.warnings = warnings;
        this.observer = observer;
    }

    /** Reads the key and watches it from the revision of this read. Ends any earlier watch. */
    void read() {
        watch.cancel();
        state.list(StateKeys.LEADER, Priority.LEASE_RENEWAL, scope.guard(listingResult -> {
            if (!listingResult.isOk()) {
                scheduleRetry();
                return;
            }
            observer.accept(stateOf(listingResult.value()));
            watchFrom(listingResult.value().revision());
        }));
    }

    /** Reads the key again after a delay with random jitter. */
    void scheduleRetry() {
        scope.after(RETRY_DELAY_NANOS + random.nextLong(RETRY_DELAY_NANOS), this::read);
    }

    void stop() {
        watch.cancel();
    }

    private void watchFrom(long revision) {
        watch.cancel();
        watch = state.watch(StateKeys.LEADER, revision, WATCH_TIMEOUT_S, scope.guard(watchResult -> {
            if (!watchResult.isOk()) {
                scheduleRetry();
                return;
            }
            for (Change change : watchResult.value().changes()) {
                if (change.key().equals(StateKeys.LEADER)) {
                    observer.accept(stateAfter(change));
                }
            }
            watchFrom(watchResult.value().revision());
        }));
    }

    private LeaderKeyState stateOf(Listing listing) {
        Optional<Entry> entry = listing.entries().stream()
                .filter(listedEntry -> listedEntry.key().equals(StateKeys.LEADER))
                .findFirst();
        return new LeaderKeyState(
                entry.map(Entry::value).map(this::parse),
                entry.map(Entry::modRevision).orElse(0L),
                listing.revision());
    }

    private LeaderKeyState stateAfter(Change change) {
        if (change instanceof Change.Put put) {
            return new LeaderKeyState(Optional.of(parse(put.value())), put.modRevision(), put.modRevision());
        }
        return new LeaderKeyState(Optional.empty(), 0, change.modRevision());
    }

    private LeaderRecord parse(JsonNode value) {
        try {
            return LeaderRecord.read(value);
        } catch (BadMessageException e) {
            warnings.warn("unreadable leader record", "reason=" + e.getMessage());
            return UNREADABLE;
        }
    }
}
