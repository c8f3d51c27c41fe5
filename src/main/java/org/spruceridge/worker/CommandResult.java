package org.spruceridge.worker;

import java.util.Optional;

/**
 * The result of commands that were sent directly to a worker.
 *
 * @param heartbeat the worker's status, if its response contained one: after the commands, or instead of executing them
 */
public record CommandResult(Kind kind, Optional<WorkerHeartbeat> heartbeat) {
    /** The outcome of the commands. */
    public enum Kind {
        /** The worker accepted the commands. */
        EXECUTED,
        /**
         * The worker rejected the commands and executed none: it has seen a newer fencing token, or it is another
         * incarnation.
         */
        REFUSED,
        /** The commands were not sent. */
        UNSENT,
        /** No usable response: the commands may have been executed, or may still arrive minutes later. */
        UNKNOWN
    }

    static CommandResult withStatus(Kind kind, WorkerHeartbeat heartbeat) {
        return new CommandResult(kind, Optional.of(heartbeat));
    }

    static CommandResult withoutStatus(Kind kind) {
        return new CommandResult(kind, Optional.empty());
    }
}
