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

/** What this node knows of the cluster feature level. */
public final class ClusterFeatureLevel {
    private static final Logger LOG = LoggerFactory.getLogger(ClusterFeatureLevel.class);

    private final StateClient state;
    private FeatureLevel highestKnown = FeatureLevel.BASE;
    private String lastComplaint = "";

    /** The level is read from {@code state}. */
    public ClusterFeatureLevel(StateClient state) {
        this.state = state;
    }

    /** The highest level that was found on record so far; as levels are never lowered, it holds. */
    public FeatureLevel highestKnown() {
        return highestKnown;
    }

    /**
     * Reads the record. INVALID means that it cannot be understood: a newer version wrote it, or it is damaged, and this
     * node must neither lead nor guess.
     */
    public void read(Priority priority, Consumer<StateResult<StoredFeatureLevel>> done) {
        state.get(StateKeys.FEATURE_LEVEL, priority, found -> {
            if (found.outcome() == StateResult.Outcome.UNAVAILABLE) {
                done.accept(StateResult.failed(StateResult.Outcome.UNAVAILABLE));
            } else if (found.isOk()) {
                done.accept(understand(found.value().value(), found.value().modRevision()));
            } else {
                done.accept(StateResult.ok(new StoredFeatureLevel(FeatureLevel.BASE, 0)));
            }
        });
    }

    private StateResult<StoredFeatureLevel> understand(JsonNode value, long modRevision) {
        try {
            FeatureLevel level = FeatureLevel.read(value);
            raised(level);
            return StateResult.ok(new StoredFeatureLevel(level, modRevision));
        } catch (BadMessageException e) {
            complain(e.getMessage());
            return StateResult.failed(StateResult.Outcome.UNSUPPORTED_VALUE);
        }
    }

    /** Once for each record: elections read it again and again. */
    private void complain(String complaint) {
        if (!complaint.equals(lastComplaint)) {
            lastComplaint = complaint;
            LOG.error(
                    "the record {} cannot be used, so this node does not lead: {}", StateKeys.FEATURE_LEVEL, complaint);
        }
    }

    /** This level is on record. */
    void raised(FeatureLevel level) {
        if (!highestKnown.includes(level)) {
            LOG.info("cluster feature level {}", level.number());
            highestKnown = level;
        }
    }
}
