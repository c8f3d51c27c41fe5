package org.spruceridge.reconciliation;

import java.util.List;
import org.spruceridge.worker.WorkerCommand;

/**
 * The content of the response to a heartbeat.
 *
 * @param fencingToken the worker's current fencing token, which is at least as high as in all earlier messages of this
 *     term to the worker
 */
public record HeartbeatReply(long fencingToken, List<WorkerCommand> commands) {}
