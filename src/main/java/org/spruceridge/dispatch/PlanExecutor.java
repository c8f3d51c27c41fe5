package org.spruceridge.dispatch;

import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Machine;
import org.spruceridge.persistence.RecordWriter;
import org.spruceridge.schedule.Plan;

/** Executes a plan: binds the placed tasks, and stops the tasks to preempt or evict. */
final class PlanExecutor {
    private static final Logger LOG = LoggerFactory.getLogger(PlanExecutor.class);

    private final Cluster cluster;
    private final RecordWriter recordWriter;
    private final AttemptNumbers attemptNumbers;
    private final Consumer<Machine> onCommandsDue;

    PlanExecutor(
            Cluster cluster,
            RecordWriter recordWriter,
            AttemptNumbers attemptNumbers,
            Consumer<Machine> onCommandsDue) {
        this.cluster = cluster;
        this.recordWriter = recordWriter;
        this.attemptNumbers = attemptNumbers;
        this.onCommandsDue = onCommandsDue;
    }

    /** Executes a plan. {@code now} is the time at which the plan was made, on the monotonic clock in nanoseconds. */
    void execute(Plan plan, long now) {
        for (Plan.Placement placement : plan.placements()) {
            bind(placement, now);
        }
        for (Binding binding : plan.preemptions()) {
            preempt(binding, now);
        }
        for (Binding binding : plan.evictions()) {
            evict(binding);
        }
    }

    private void bind(Plan.Placement placement, long now) {
        Binding binding = new Binding(
                placement.job(),
                placement.taskIndex(),
                attemptNumbers.next(),
                placement.machine(),
                Binding.Stage.PROPOSED,
                now);
        cluster.bind(binding);
        recordWriter.recordBinding(binding);
    }

    private void preempt(Binding binding, long now) {
        binding.requestStop(Binding.StopMode.CHECKPOINT);
        binding.machine().recordPreemption(now);
        logStop(binding, "preempted");
        onCommandsDue.accept(binding.machine());
    }

    /**
     * Evicts a replica with a checkpoint from a machine that is about to be reclaimed. The plan has reserved room for
     * the replica on another machine.
     */
    private void evict(Binding binding) {
        binding.requestStop(Binding.StopMode.CHECKPOINT);
        logStop(binding, "reclaim-notice");
        onCommandsDue.accept(binding.machine());
    }

    private static void logStop(Binding binding, String reason) {
        LOG.info(
                "task stopped task={} attempt={} machine={} reason={}",
                binding.task(),
                binding.attempt(),
                binding.machine().name(),
                reason);
    }
}
