package org.spruceridge.reconciliation;

import java.util.List;
import org.spruceridge.worker.WorkerCommand;

/** The result of handling a heartbeat. */
sealed interface HeartbeatResult {
    /** The heartbeat was applied to the cluster state. These commands must be sent to the machine. */
    record Reconciled(List<WorkerCommand> commands) implements HeartbeatResult {}

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
