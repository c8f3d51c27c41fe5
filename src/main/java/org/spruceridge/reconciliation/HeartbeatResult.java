package org.spruceridge.reconciliation;

import java.util.List;
import org.spruceridge.worker.WorkerCommand;

/** What became of a heartbeat. */
sealed interface HeartbeatResult {
    /** It was taken into the cluster state, and these commands follow from it. */
    record Reconciled(List<WorkerCommand> commands) implements HeartbeatResult {}

    /** It was not taken into the cluster state, for this reason. */
    enum Rejected implements HeartbeatResult {
        /** It carries the fencing token of another term. */
        OTHER_FENCING_TOKEN,
        /** Its machine was deleted. */
        MACHINE_DELETED,
        /** It is not newer than the newest heartbeat that was accepted. */
        OUTDATED
    }
}
