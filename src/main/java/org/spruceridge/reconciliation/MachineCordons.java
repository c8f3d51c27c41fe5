package org.spruceridge.reconciliation;

import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.TaskFailures;

/**
 * Cordons machines on which tasks of several jobs have failed. Ends the cordon as soon as the remaining failures no
 * longer indicate that the machine is faulty.
 */
final class MachineCordons {
    private static final Logger LOG = LoggerFactory.getLogger(MachineCordons.class);

    /** A machine is cordoned while the failures of at least this many jobs indicate that it is faulty. */
    private static final int FAILED_JOBS_BEFORE_CORDON = 2;

    private final Consumer<Machine> onMachineAvailable;

    /** {@code onMachineAvailable} is called for each machine whose cordon has ended. */
    MachineCordons(Consumer<Machine> onMachineAvailable) {
        this.onMachineAvailable = onMachineAvailable;
    }

    /** Cordons the machine or ends its cordon after its failures have changed. {@code reason} is logged. */
    void update(Machine machine, String reason, long now) {
        TaskFailures failures = machine.taskFailures();
        boolean isFaulty = failures.countFaultIndications() >= FAILED_JOBS_BEFORE_CORDON;
        if (isFaulty && !failures.isCordoned()) {
            failures.cordon(now);
            LOG.info("machine cordoned machine={} reason={} failedJobs={}", machine.name(), reason, failures.jobIds());
        } else if (!isFaulty && failures.isCordoned()) {
            failures.endCordon();
            LOG.info("cordon ended machine={} reason={} failedJobs={}", machine.name(), reason, failures.jobIds());
            onMachineAvailable.accept(machine);
        }
    }
}
