package org.spruceridge.worker;

import java.util.Optional;

/**
 * What came of orders sent straight to a worker.
 *
 * @param heartbeat what the worker says is there after the orders, or instead of them
 */
public record CommandResult(Kind kind, Optional<WorkerHeartbeat> heartbeat) {
    /** How it ended. */
    public enum Kind {
        EXECUTED,
        /** The worker did nothing: a newer token or another session. */
        REFUSED,
        /** It never left this node. */
        UNSENT,
        /** No answer: the orders may have been executed, or may be minutes later. */
        UNKNOWN
    }
}
