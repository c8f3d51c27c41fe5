package org.spruceridge.reconciliation;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.net.Loop;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.worker.WorkerCommand;
import org.spruceridge.worker.WorkerHeartbeat;
import org.spruceridge.worker.WorkerHeartbeat.TaskStatus;

/** Chooses the commands for a worker. */
final class CommandSelector {
    private final Loop loop;
    private final Cluster cluster;
    private final OrphanBindings orphans;
    private final ReclaimCheckpoint reclaimCheckpoint;

    CommandSelector(LeaderContext context, OrphanBindings orphans) {
        this.loop = context.loop();
        this.cluster = context.cluster();
        this.orphans = orphans;
        this.reclaimCheckpoint = new ReclaimCheckpoint(context.settings().workers());
    }

    /** The commands that answer a heartbeat; {@code unbound} are the tasks of it that belong to no binding. */
    List<WorkerCommand> commandsFor(Machine machine, List<TaskStatus> unbound, long now) {
        List<WorkerCommand> commands = new ArrayList<>();
        for (TaskStatus status : unbound) {
            addUnboundTask(machine, status, commands, now);
        }
        for (Binding binding : machine.bindings()) {
            reclaimCheckpoint.requestIfDue(binding, now);
            Optional<WorkerCommand> command = dueCommand(binding);
            if (command.isPresent()) {
                binding.recordCommandSent(now);
                commands.add(command.get());
            }
        }
        return commands;
    }

    private void addUnboundTask(Machine machine, TaskStatus status, List<WorkerCommand> commands, long now) {
        if (!status.hasExited()) {
            orphans.add(machine, status, now);
            commands.add(WorkerCommand.stopImmediately(status.task(), status.attempt()));
        } else if (!machine.directCommands().isStartUnresolved(status.attempt())) {
            // While the worker knows the attempt, a late start of it does nothing: only then it may be forgotten.
            commands.add(WorkerCommand.forget(status.task(), status.attempt()));
        }
    }

    /** The command that a binding calls for at present, if any. */
    Optional<WorkerCommand> dueCommand(Binding binding) {
        return switch (binding.phase()) {
            case ABSENT -> dueStart(binding);
            case FETCHING, RUNNING -> dueStop(binding);
            case CHECKPOINTING -> binding.stopMode() == Binding.StopMode.IMMEDIATE
                    ? Optional.of(stopImmediately(binding))
                    : Optional.empty();
            case ENDED -> Optional.empty(); // forgotten once its end is on record
        };
    }

    private static Optional<WorkerCommand> dueStart(Binding binding) {
        return binding.stage() == Binding.Stage.COMMITTED && !isStartForbidden(binding)
                ? Optional.of(WorkerCommand.start(binding.task(), binding.attempt()))
                : Optional.empty();
    }

    private Optional<WorkerCommand> dueStop(Binding binding) {
        return switch (binding.stopMode()) {
            case NONE -> Optional.empty();
            case CHECKPOINT -> {
                double graceS = ReclaimCheckpoint.graceS(binding, loop.nanos());
                yield Optional.of(WorkerCommand.stop(binding.task(), binding.attempt(), graceS));
            }
            case IMMEDIATE -> Optional.of(stopImmediately(binding));
        };
    }

    private static WorkerCommand stopImmediately(Binding binding) {
        return WorkerCommand.stopImmediately(binding.task(), binding.attempt());
    }

    /** True if a task that is not on its machine yet must not be started there any more. */
    static boolean isStartForbidden(Binding binding) {
        Machine machine = binding.machine();
        return binding.stopMode() != Binding.StopMode.NONE
                || machine.isTerminating()
                || machine.reclaim().isAnnounced()
                || machine.suspicion().isCordoned()
                || machine.suspicion().isSuspect();
    }

    /**
     * The commands for a heartbeat that is answered but not taken into the cluster state. The response renews the worker's
     * lease, so it stops all listed tasks of jobs that are not open. That needs no fresh heartbeat: a stop names an attempt,
     * and an ended job stays ended.
     */
    List<WorkerCommand> stopsOfEndedJobs(WorkerHeartbeat heartbeat) {
        return heartbeat.tasks().stream()
                .filter(status -> !status.hasExited() && !isOpen(status.task().job()))
                .map(status -> WorkerCommand.stopImmediately(status.task(), status.attempt()))
                .toList();
    }

    private boolean isOpen(String id) {
        Job job = cluster.job(id);
        return job != null && !job.isCancelled();
    }
}
