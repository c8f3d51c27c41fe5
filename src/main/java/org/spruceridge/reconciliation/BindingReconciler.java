package org.spruceridge.reconciliation;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.TaskId;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.persistence.RecordWriter;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.worker.WorkerHeartbeat.ExitCause;
import org.spruceridge.worker.WorkerHeartbeat.TaskStatus;

/** Reconciles the bindings of a machine with the tasks that its heartbeat lists. */
final class BindingReconciler {
    private static final Logger LOG = LoggerFactory.getLogger(BindingReconciler.class);

    private final Loop loop;
    private final RecordWriter recordWriter;
    private final RateLimitedWarnings warnings;
    private final FailureTracker failureTracker;
    private final OrphanBindings orphanBindings;
    private final Consumer<Machine> onMachineAvailable;

    BindingReconciler(
            LeaderContext context,
            RecordWriter recordWriter,
            FailureTracker failureTracker,
            OrphanBindings orphanBindings,
            Consumer<Machine> onMachineAvailable) {
        this.loop = context.loop();
        this.recordWriter = recordWriter;
        this.warnings = context.warnings();
        this.failureTracker = failureTracker;
        this.orphanBindings = orphanBindings;
        this.onMachineAvailable = onMachineAvailable;
    }

    /** Applies the task statuses to the machine's bindings. Returns the statuses that match no binding. */
    List<TaskStatus> reconcile(Machine machine, ImmutableList<TaskStatus> statuses, long now) {
        Map<TaskId, TaskStatus> boundStatuses = new HashMap<>();
        List<TaskStatus> unboundStatuses = new ArrayList<>();
        for (TaskStatus status : statuses) {
            Binding binding = machine.binding(status.task());
            if (binding != null && binding.attempt() == status.attempt()) {
                boundStatuses.put(status.task(), status);
            } else {
                unboundStatuses.add(status);
            }
        }
        for (Binding binding : ImmutableList.copyOf(machine.bindings())) {
            reconcile(binding, boundStatuses.get(binding.task()), now);
        }
        return unboundStatuses;
    }

    /** {@code status} is null if the heartbeat does not list the task. */
    private void reconcile(Binding binding, TaskStatus status, long now) {
        Binding.Phase previousPhase = binding.phase();
        if (status == null) {
            applyAbsence(binding, now);
        } else {
            applyStatus(binding, status, now);
        }
        if (binding.phase() != previousPhase && binding.phase() != Binding.Phase.ABSENT) {
            binding.machine().suspicion().recordAcknowledgement();
        }
    }

    private void applyAbsence(Binding binding, long now) {
        binding.recordPhase(Binding.Phase.ABSENT, now);
        if (binding.stage() == Binding.Stage.ORPHANED) {
            orphanBindings.remove(binding, now);
        } else if (isAbandoned(binding)) {
            recordWriter.release(binding, false);
        }
    }

    /**
     * Returns whether the task is not running and will not be started. A start command that can still arrive could
     * start the task, whatever the heartbeat lists. So could a duplicate of one that was executed, because a worker that
     * does not list the attempt has lost its state.
     */
    private static boolean isAbandoned(Binding binding) {
        return binding.stage() == Binding.Stage.COMMITTED
                && CommandSelector.isStartForbidden(binding)
                && binding.machine().startCommands().isForgettable(binding.attempt());
    }

    private void applyStatus(Binding binding, TaskStatus status, long now) {
        switch (status.state()) {
            case FETCHING -> binding.recordPhase(Binding.Phase.FETCHING, now);
            case RUNNING -> {
                logStart(binding, now);
                binding.recordPhase(Binding.Phase.RUNNING, now);
                failureTracker.recordRunning(binding, now);
            }
            case CHECKPOINTING -> binding.recordPhase(Binding.Phase.CHECKPOINTING, now);
            case EXITED -> applyExit(binding, status.cause(), now);
            default -> throw new IllegalStateException("no such state: " + status.state());
        }
    }

    private void applyExit(Binding binding, ExitCause cause, long now) {
        if (binding.phase() == Binding.Phase.ENDED) {
            return; // the release of the binding is already being written
        }
        double elapsedS = binding.runTimeS(now);
        binding.recordPhase(Binding.Phase.ENDED, now);
        logExit(binding, cause, elapsedS);
        switch (cause) {
            case DONE, ERROR -> failureTracker.recordExit(binding, cause, elapsedS, now);
            case NO_ROOM, BUSY, UNKNOWN -> {
                warnings.warn("start refused: " + cause, describe(binding));
                failureTracker.recordRefusedStart(binding.job(), now);
            }
            default -> {}
        }
        releaseExited(binding, cause, now);
        onMachineAvailable.accept(binding.machine());
    }

    private void releaseExited(Binding binding, ExitCause cause, long now) {
        boolean isCompleted = cause == ExitCause.DONE && !binding.job().spec().isService();
        if (binding.stage() == Binding.Stage.ORPHANED && !isCompleted) {
            orphanBindings.remove(binding, now);
        } else {
            recordWriter.release(binding, isCompleted);
        }
    }

    private void logStart(Binding binding, long now) {
        if (!LOG.isDebugEnabled() || binding.phase() == Binding.Phase.RUNNING) {
            return;
        }
        LOG.debug(
                "task running {} jobClass={} sinceSubmissionS={} sinceBindingS={}",
                describe(binding),
                binding.job().spec().jobClass(),
                (loop.wallMillis() - binding.job().submittedMs()) / 1000.0,
                Durations.seconds(now - binding.createdAt()));
    }

    private static void logExit(Binding binding, ExitCause cause, double elapsedS) {
        if (LOG.isDebugEnabled()) {
            LOG.debug("task exited {} reason={} durationMs={}", describe(binding), cause, elapsedS * 1000);
        }
    }

    private static String describe(Binding binding) {
        return "task=" + binding.task() + " attempt=" + binding.attempt() + " machine="
                + binding.machine().name();
    }
}
