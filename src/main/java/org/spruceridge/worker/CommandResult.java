package org.spruceridge.worker;

import java.util.Optional;

/**
 * The result of commands that were sent directly to a worker.
 *
 * @param heartbeat the status after the commands or in place of them, if the worker returned one
 */
public record CommandResult(Kind kind, Optional<WorkerHeartbeat> heartbeat) {
    /** How it ended. */
    public enum Kind {
        /** The worker has taken the commands. */
        EXECUTED,
        /** The worker did nothing: it has a newer fencing token or another incarnation. */
        REFUSED,
        /** The commands never left this node. */
        UNSENT,
        /** No reply: the commands may have been executed, or may still arrive minutes later. */
        UNKNOWN
    }

    static CommandResult withStatus(Kind kind, WorkerHeartbeat heartbeat) {
        return new CommandResult(kind, Optional.of(heartbeat));
    }

    static CommandResult withoutStatus(Kind kind) {
        return new CommandResult(kind, Optional.empty());
    }
}
