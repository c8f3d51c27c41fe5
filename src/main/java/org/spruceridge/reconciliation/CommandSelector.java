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

/** Selects the commands to send to a worker. */
final class CommandSelector {
    private final Loop loop;
    private final Cluster cluster;
    private final OrphanBindings orphanBindings;
    private final ReclaimCheckpoint reclaimCheckpoint;

    CommandSelector(LeaderContext context, OrphanBindings orphanBindings) {
        this.loop = context.loop();
        this.cluster = context.cluster();
        this.orphanBindings = orphanBindings;
        this.reclaimCheckpoint = new ReclaimCheckpoint(context.settings().workers());
    }

    /**
     * Returns the commands of the response to a heartbeat. {@code unboundStatuses} are the task statuses of the
     * heartbeat that match no binding.
     */
    List<WorkerCommand> commandsFor(Machine machine, List<TaskStatus> unboundStatuses, long now) {
        List<WorkerCommand> commands = new ArrayList<>();
        for (TaskStatus status : unboundStatuses) {
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
            orphanBindings.add(machine, status, now);
            commands.add(WorkerCommand.stopImmediately(status.task(), status.attempt()));
        } else if (machine.startCommands().isForgettable(status.attempt())) {
            // A worker ignores a late or repeated start of an attempt that the worker knows. Therefore the worker is
            // told to forget the attempt only once no such start can be executed.
            commands.add(WorkerCommand.forget(status.task(), status.attempt()));
        }
    }

    /** Returns the command that the current state of a binding requires; empty if it requires none. */
    Optional<WorkerCommand> dueCommand(Binding binding) {
        return switch (binding.phase()) {
            case ABSENT -> dueStart(binding);
            case FETCHING, RUNNING -> dueStop(binding);
            case CHECKPOINTING -> binding.stopMode() == Binding.StopMode.IMMEDIATE
                    ? Optional.of(stopImmediately(binding))
                    : Optional.empty();
            case ENDED -> Optional.empty(); // the worker forgets the attempt once its end is recorded
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

    /** Returns whether a task that has not been started on its machine must not be started there any more. */
    static boolean isStartForbidden(Binding binding) {
        Machine machine = binding.machine();
        return binding.stopMode() != Binding.StopMode.NONE
                || machine.isTerminating()
                || machine.reclaim().isAnnounced()
                || machine.taskFailures().forbidsStart(binding.createdAt())
                || machine.suspicion().isSuspect();
    }

    /**
     * Returns the commands of the response to a heartbeat that is not applied to the cluster state. The response renews
     * the worker's lease. Therefore the response has to stop all listed tasks of jobs that are not open. These stops
     * are safe even if the heartbeat is outdated: a stop names an attempt, and an ended job never reopens.
     */
    List<WorkerCommand> stopsForEndedJobs(WorkerHeartbeat heartbeat) {
        return heartbeat.tasks().stream()
                .filter(status -> !status.hasExited() && !isOpen(status.task().job()))
                .map(status -> WorkerCommand.stopImmediately(status.task(), status.attempt()))
                .toList();
    }

    private boolean isOpen(String jobId) {
        Job job = cluster.job(jobId);
        return job != null && !job.isCancelled();
    }
}
