package org.spruceridge.reconciliation;

import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.TaskId;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.worker.WorkerHeartbeat.TaskStatus;

/** Bindings of tasks that run although no record knows them: they are counted where they run until they are gone. */
final class OrphanBindings {
    private final Cluster cluster;
    private final RateLimitedWarnings warnings;

    OrphanBindings(Cluster cluster, RateLimitedWarnings warnings) {
        this.cluster = cluster;
        this.warnings = warnings;
    }

    /** Adds a binding, to be stopped immediately, unless the job is unknown or the task is bound to another machine. */
    void add(Machine machine, TaskStatus status, long now) {
        TaskId task = status.task();
        warnings.warn(
                "task without a binding",
                "task=" + task + " attempt=" + status.attempt() + " machine=" + machine.name());
        Job job = cluster.job(task.job());
        if (job == null
                || job.binding(task.index()) != null
                || task.index() >= job.spec().tasks()) {
            return;
        }
        Binding orphan = new Binding(job, task.index(), status.attempt(), machine, Binding.Stage.ORPHANED, now);
        orphan.requestStop(Binding.StopMode.IMMEDIATE);
        cluster.bind(orphan);
    }

    /** The task is gone; no record of it has to be released. */
    void remove(Binding orphan, long now) {
        cluster.unbind(orphan, now);
        cluster.removeIfEnded(orphan.job(), orphan.job().isCancelled());
    }
}
