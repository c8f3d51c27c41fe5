package org.spruceridge.node;

import java.util.Optional;
import org.spruceridge.leader.Leader;

/**
 * Holds this node's leader object during its term; empty while the node is a follower. Only {@link Node} changes it.
 */
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

    /** Stops and clears the leader object, if there is one. */
    void end() {
        leader.ifPresent(Leader::stop);
        leader = Optional.empty();
    }
}
