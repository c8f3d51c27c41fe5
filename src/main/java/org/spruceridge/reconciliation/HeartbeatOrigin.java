package org.spruceridge.reconciliation;

/** The way in which a heartbeat reached the leader. */
enum HeartbeatOrigin {
    /** The worker sent the heartbeat, which shows that the worker can reach a controller. */
    WORKER_REQUEST,
    /** The heartbeat arrived with the result of a direct command. */
    COMMAND_RESPONSE
}
