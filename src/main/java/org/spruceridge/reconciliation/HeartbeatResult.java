package org.spruceridge.reconciliation;

import java.util.List;
import org.spruceridge.cluster.Machine;
import org.spruceridge.worker.WorkerCommand;
import org.spruceridge.worker.WorkerHeartbeat.TaskStatus;

/** The result of handling a heartbeat. */
sealed interface HeartbeatResult {
    /**
     * The heartbeat was applied to the cluster state. These commands must be sent to the machine.
     *
     * @param unboundStatuses the task statuses of the heartbeat that match no binding
     */
    record Reconciled(Machine machine, List<WorkerCommand> commands, List<TaskStatus> unboundStatuses)
            implements HeartbeatResult {}

    /** The reason why a heartbeat was not applied to the cluster state. */
    enum Rejected implements HeartbeatResult {
        /** The heartbeat carries the fencing token of another term. */
        OTHER_FENCING_TOKEN,
        /** The machine has been deleted. */
        MACHINE_DELETED,
        /** The heartbeat is not newer than the last accepted one. */
        OUTDATED
    }
}
