package org.spruceridge.node;

import java.util.Optional;
import org.spruceridge.leader.Leader;

/** The leader object of the term that this node holds; empty while it follows. Changed by {@link Node} only. */
final class CurrentLeader {
    private Optional<Leader> leader = Optional.empty();

    Optional<Leader> get() {
        return leader;
    }

    boolean isPresent() {
        return leader.isPresent();
    }

    void begin(Leader started) {
        leader = Optional.of(started);
    }

    /** Stops the leader of the term that ended, if there is one. */
    void end() {
        leader.ifPresent(Leader::stop);
        leader = Optional.empty();
    }
}
