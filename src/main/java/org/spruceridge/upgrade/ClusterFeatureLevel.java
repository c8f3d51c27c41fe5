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

    /** Reads the level from {@code state}. */
    public ClusterFeatureLevel(StateClient state) {
        this.state = state;
    }

    /** The highest level read or written so far. It is still in effect, because the level is never lowered. */
    public FeatureLevel highestKnown() {
        return highestKnown;
    }

    /**
     * Reads the level, which is the base level if there is no record. The result is UNSUPPORTED_VALUE if the record
     * cannot be read because a newer version wrote it or it is damaged; this node must not lead in that case. It is
     * UNAVAILABLE if the state service does not answer.
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

    /** Logs an error unless it equals the last logged one, because elections read the record repeatedly. */
    private void logOnce(String error) {
        if (!error.equals(lastLoggedError)) {
            lastLoggedError = error;
            LOG.error(
                    "feature level unreadable, this node does not lead path={} reason={}",
                    StateKeys.FEATURE_LEVEL,
                    error);
        }
    }

    /** Updates the highest known level after a level was read from, or written to, the state service. */
    void updateHighestKnown(FeatureLevel level) {
        if (!highestKnown.includes(level)) {
            LOG.info("cluster feature level raised version={}", level.number());
            highestKnown = level;
        }
    }
}
