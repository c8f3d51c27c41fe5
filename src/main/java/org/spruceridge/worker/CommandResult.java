package org.spruceridge.worker;

import java.util.Optional;

/**
 * The result of commands that were sent directly to a worker.
 *
 * @param heartbeat the worker's status, if its response contained one. If the worker executed the commands, the status
 *     is the one after the commands.
 */
public record CommandResult(Kind kind, Optional<WorkerHeartbeat> heartbeat) {
    /** The outcome of the commands. */
    public enum Kind {
        /** The worker accepted the commands. */
        EXECUTED,
        /**
         * The worker rejected the commands and executed none. It has seen a newer fencing token, its current
         * incarnation is not the one that the commands were sent to, or it reported an invalid request.
         */
        REFUSED,
        /** The commands were not sent. */
        UNSENT,
        /** There was no usable response. The commands might have been executed, or might arrive minutes later. */
        UNKNOWN
    }

    static CommandResult withStatus(Kind kind, WorkerHeartbeat heartbeat) {
        return new CommandResult(kind, Optional.of(heartbeat));
    }

    static CommandResult withoutStatus(Kind kind) {
        return new CommandResult(kind, Optional.empty());
    }
}
