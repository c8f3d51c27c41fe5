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

/** Reads the cluster feature level from the state service and remembers the highest that was found. */
public final class ClusterFeatureLevel {
    private static final Logger LOG = LoggerFactory.getLogger(ClusterFeatureLevel.class);

    private final StateClient state;
    private FeatureLevel highestKnown = FeatureLevel.BASE;
    private String lastLoggedError = "";

    /** The level is read from {@code state}. */
    public ClusterFeatureLevel(StateClient state) {
        this.state = state;
    }

    /** The highest level found so far. It is in force, for a level is never lowered. */
    public FeatureLevel highestKnown() {
        return highestKnown;
    }

    /**
     * Reads the level; without a record it is the base level. The result is UNSUPPORTED_VALUE if the record cannot be
     * read, because a newer version wrote it or it is damaged: this node must not lead then. It is UNAVAILABLE if the
     * state service does not answer.
     */
    public void read(Priority priority, Consumer<StateResult<StoredFeatureLevel>> done) {
        state.get(StateKeys.FEATURE_LEVEL, priority, found -> {
            if (found.outcome() == StateResult.Outcome.UNAVAILABLE) {
                done.accept(StateResult.failed(StateResult.Outcome.UNAVAILABLE));
            } else if (found.isOk()) {
                done.accept(parse(found.value().value(), found.value().modRevision()));
            } else {
                done.accept(StateResult.ok(new StoredFeatureLevel(FeatureLevel.BASE, 0)));
            }
        });
    }

    private StateResult<StoredFeatureLevel> parse(JsonNode value, long modRevision) {
        try {
            FeatureLevel level = FeatureLevel.read(value);
            noteStored(level);
            return StateResult.ok(new StoredFeatureLevel(level, modRevision));
        } catch (BadMessageException e) {
            logOnce(e.getMessage());
            return StateResult.failed(StateResult.Outcome.UNSUPPORTED_VALUE);
        }
    }

    /** Elections read the record repeatedly; an error is logged once until another one replaces it. */
    private void logOnce(String error) {
        if (!error.equals(lastLoggedError)) {
            lastLoggedError = error;
            LOG.error(
                    "feature level unreadable, this node does not lead path={} reason={}",
                    StateKeys.FEATURE_LEVEL,
                    error);
        }
    }

    /** Takes note of a level that was found in, or written to, the state service. */
    void noteStored(FeatureLevel level) {
        if (!highestKnown.includes(level)) {
            LOG.info("cluster feature level raised version={}", level.number());
            highestKnown = level;
        }
    }
}
