package org.spruceridge.reconciliation;

import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.TaskId;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.worker.WorkerHeartbeat.TaskStatus;

/**
 * Manages orphan bindings: the bindings of running tasks that have no stored record. An orphan binding counts against
 * the capacity of its machine until the task is gone.
 */
final class OrphanBindings {
    private final Cluster cluster;
    private final RateLimitedWarnings warnings;

    OrphanBindings(Cluster cluster, RateLimitedWarnings warnings) {
        this.cluster = cluster;
        this.warnings = warnings;
    }

    /**
     * Adds an orphan binding whose task is to be stopped immediately. Adds none if the job is unknown, if the task is
     * already bound, or if the job has no task with this index.
     */
    void add(Machine machine, TaskStatus status, long now) {
        TaskId task = status.task();
        warnings.warn(
                "task without a binding",
                "task=" + task + " attempt=" + status.attempt() + " machine=" + machine.name());
        Job job = cluster.job(task.job());
        if (job == null
                || job.binding(task.index()) != null
                || task.index() >= job.spec().taskCount()) {
            return;
        }
        Binding orphan = new Binding(job, task.index(), status.attempt(), machine, Binding.Stage.ORPHANED, now);
        orphan.requestStop(Binding.StopMode.IMMEDIATE);
        cluster.bind(orphan);
    }

    /** Removes the orphan binding of a task that is gone. There is no stored record to release. */
    void remove(Binding orphan, long now) {
        cluster.unbind(orphan, now);
        cluster.removeIfEnded(orphan.job(), orphan.job().isCancelled());
    }
}
