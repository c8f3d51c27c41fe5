package org.spruceridge.reconciliation;

/** How a heartbeat came to the leader. */
enum HeartbeatOrigin {
    /** The worker sent it by itself, which shows that it reaches a controller. */
    WORKER_REQUEST,
    /** It came with the result of a direct command. */
    COMMAND_REPLY
}
