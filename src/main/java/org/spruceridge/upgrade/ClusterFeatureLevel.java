package org.spruceridge.upgrade;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.record.StateKeys;
import org.spruceridge.state.StateClient;
import org.spruceridge.state.StateResult;

/** Reads the cluster feature level from the state service and caches the highest level read. */
public final class ClusterFeatureLevel {
    private static final Logger LOG = LoggerFactory.getLogger(ClusterFeatureLevel.class);

    private final StateClient state;
    private FeatureLevel highestKnown = FeatureLevel.BASE;
    private String lastLoggedError = "";

    /** Creates an instance that reads the level through {@code state}. */
    public ClusterFeatureLevel(StateClient state) {
        this.state = state;
    }

    /** The highest level that this node has read or written. The level is still in effect: it is never lowered. */
    public FeatureLevel highestKnown() {
        return highestKnown;
    }

    /**
     * Reads the level. The level is the base level if there is no record. The outcome is UNSUPPORTED_VALUE if a newer
     * version wrote the record or the record is damaged; this node must not lead in that case. The outcome is
     * UNAVAILABLE if the state service does not give a usable answer.
     */
    public void read(Priority priority, Consumer<StateResult<StoredFeatureLevel>> onResult) {
        state.get(StateKeys.FEATURE_LEVEL, priority, entryResult -> {
            if (entryResult.outcome() == StateResult.Outcome.UNAVAILABLE) {
                onResult.accept(StateResult.failed(StateResult.Outcome.UNAVAILABLE));
            } else if (entryResult.isOk()) {
                onResult.accept(
                        parse(entryResult.value().value(), entryResult.value().modRevision()));
            } else {
                onResult.accept(StateResult.ok(new StoredFeatureLevel(FeatureLevel.BASE, 0)));
            }
        });
    }

    private StateResult<StoredFeatureLevel> parse(JsonNode value, long modRevision) {
        try {
            FeatureLevel level = FeatureLevel.read(value);
            updateHighestKnown(level);
            return StateResult.ok(new StoredFeatureLevel(level, modRevision));
        } catch (BadMessageException e) {
            logOnce(e.getMessage());
            return StateResult.failed(StateResult.Outcome.UNSUPPORTED_VALUE);
        }
    }

    /** Logs an error unless it equals the last logged error, because elections read the record repeatedly. */
    private void logOnce(String error) {
        if (!error.equals(lastLoggedError)) {
            lastLoggedError = error;
            LOG.error(
                    "feature level unreadable, this node does not lead path={} reason={}",
                    StateKeys.FEATURE_LEVEL,
                    error);
        }
    }

    /** Raises the highest known level after a level was read from, or written to, the state service. */
    void updateHighestKnown(FeatureLevel level) {
        if (!highestKnown.includes(level)) {
            LOG.info("cluster feature level raised version={}", level.number());
            highestKnown = level;
        }
    }
}
