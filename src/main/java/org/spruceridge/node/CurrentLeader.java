package org.spruceridge.node;

import java.util.Optional;
import org.spruceridge.leader.Leader;

/**
 * Holds this node's leader object while the node leads; empty while the node is a follower. Only {@link Node} sets and
 * clears the leader object.
 */
final class CurrentLeader {
    private Optional<Leader> leader = Optional.empty();

    Optional<Leader> get() {
        return leader;
    }

    boolean isPresent() {
        return leader.isPresent();
    }

    void set(Leader started) {
        leader = Optional.of(started);
    }

    /** Stops and clears the leader object, if there is one. */
    void stopAndClear() {
        leader.ifPresent(Leader::stop);
        leader = Optional.empty();
    }
}
