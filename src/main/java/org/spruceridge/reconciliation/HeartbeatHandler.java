package org.spruceridge.reconciliation;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.TaskId;
import org.spruceridge.config.Settings;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.persistence.RecordWriter;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.worker.WorkerCommand;
import org.spruceridge.worker.WorkerHeartbeat;
import org.spruceridge.worker.WorkerHeartbeat.ExitCause;
import org.spruceridge.worker.WorkerHeartbeat.TaskStatus;

/** Takes reports into the cluster state and answers them with orders. */
public final class HeartbeatHandler {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);
    /** Jobs that must fail on a machine before the machine is taken for faulty. */
    private static final int FAILED_JOBS_BEFORE_CORDON = 2;
    /** For how long an early end of a replica counts, against the longest time for which a service is held back. */
    private static final double EARLY_EXIT_MEMORY_IN_CANCEL_TIMES = 2;
    /** That time is not doubled more often. */
    private static final int MAX_BACKOFF_DOUBLINGS = 16;

    private final Loop loop;
    private final Cluster cluster;
    private final RecordWriter recordWriter;
    private final long term;
    private final Settings settings;
    private final RateLimitedWarnings warnings;
    private final Consumer<Machine> onMachineAvailable;
    /** When machines were last answered that are not in the cluster state yet. */
    private final Map<String, Long> leaseRenewedDuringFailover = new HashMap<>();

    /** {@code onMachineAvailable} is told of machines that have room anew: that begin to report, or that a task has left. */
    public HeartbeatHandler(LeaderContext context, RecordWriter recordWriter, Consumer<Machine> onMachineAvailable) {
        this.loop = context.loop();
        this.cluster = context.cluster();
        this.recordWriter = recordWriter;
        this.term = context.term().term();
        this.settings = context.settings();
        this.warnings = context.warnings();
        this.onMachineAvailable = onMachineAvailable;
    }

    /** Takes note that a machine reported and is handed this term's token; its tasks are not looked at. */
    private void recordLeaseRenewal(WorkerHeartbeat heartbeat) {
        Machine machine = cluster.machine(heartbeat.machine());
        if (machine != null) {
            machine.lease().recordRenewal(loop.nanos(), heartbeat.fencingToken() == term);
        }
    }

    /**
     * Takes a report into the cluster state, and answers it with orders. A report counts only if it is newer than all before
     * it and carries this term's token: orders of earlier leaders can no longer reach that worker, so what the report lacks
     * is not there.
     */
    public List<WorkerCommand> handle(WorkerHeartbeat heartbeat) {
        Optional<List<WorkerCommand>> commands = apply(heartbeat, true);
        recordLeaseRenewal(heartbeat);
        return commands.orElseGet(() -> stopTasksOfEndedJobs(heartbeat));
    }

    /** Answers a report while the failover is under way: only jobs are known yet, and of those all that are open. */
    public List<WorkerCommand> handleDuringFailover(WorkerHeartbeat heartbeat) {
        leaseRenewedDuringFailover.put(heartbeat.machine(), loop.nanos());
        return stopTasksOfEndedJobs(heartbeat);
    }

    /** The machines of the records are known from now on: of some the lease was renewed meanwhile. */
    public void failoverCompleted() {
        leaseRenewedDuringFailover.forEach((name, at) -> {
            Machine machine = cluster.machine(name);
            if (machine != null) {
                machine.lease().recordRenewalDuringFailover(at);
            }
        });
        leaseRenewedDuringFailover.clear();
    }

    /**
     * The answer to a report renews the worker's lease even if nothing is taken from it. So it stops all that the report
     * lists of jobs that are not open. That needs no fresh report: a stop names an attempt, and an ended job stays ended.
     */
    private List<WorkerCommand> stopTasksOfEndedJobs(WorkerHeartbeat heartbeat) {
        return heartbeat.tasks().stream()
                .filter(t -> t.state() != WorkerHeartbeat.TaskState.EXITED
                        && !isOpen(t.task().job()))
                .map(t -> WorkerCommand.stop(t.task(), t.attempt(), 0))
                .toList();
    }

    private boolean isOpen(String id) {
        Job job = cluster.job(id);
        return job != null && !job.isCancelled();
    }

    /**
     * True if answering this machine would only put off the proof that its tasks are gone: it is being given back and
     * does not do as it is told, or it has long been answered and does not show this term's token.
     */
    public boolean withholdsResponse(WorkerHeartbeat heartbeat) {
        Machine machine = cluster.machine(heartbeat.machine());
        if (machine == null || machine.bindings().isEmpty()) {
            return false;
        }
        // Not sooner: right after a failover answers may come too late for the workers, and then it is not they who are
        // at fault.
        long timeout = Durations.nanos(settings.workers().leaseS());
        boolean unreachable =
                heartbeat.fencingToken() != term && machine.lease().isFencingOverdue(loop.nanos(), timeout);
        return unreachable || (machine.isTerminating() && machine.awaitsAcknowledgement());
    }

    /** Takes the report into the cluster state that came with the answer to a push. */
    public void apply(WorkerHeartbeat heartbeat) {
        apply(heartbeat, false);
    }

    /** The orders that follow from the report, or nothing if it is not taken into the cluster state. */
    private Optional<List<WorkerCommand>> apply(WorkerHeartbeat heartbeat, boolean sentByWorker) {
        // A report with another token may be a copy of any age, of a machine that is gone: it tells nothing. The answer
        // brings this term's token, and the next report with it. A machine that was given back stays so.
        if (heartbeat.fencingToken() != term || cluster.wasRemoved(heartbeat.machine())) {
            return Optional.empty();
        }
        Machine machine = machine(heartbeat);
        if (!machine.heartbeatVersion().isSupersededBy(heartbeat.incarnation(), heartbeat.sequence())) {
            return Optional.empty();
        }
        long now = loop.nanos();
        boolean newlyAvailable =
                !machine.lease().isFenced() || machine.heartbeatVersion().isNewIncarnation(heartbeat.incarnation());
        if (sentByWorker) {
            machine.recordHeartbeat(heartbeat.incarnation(), heartbeat.sequence(), heartbeat.address(), now);
        } else {
            machine.recordStatus(heartbeat.incarnation(), heartbeat.sequence(), heartbeat.address(), now);
        }
        machine.lease().fence();
        if (heartbeat.reclaimNoticeS().isPresent()) {
            machine.reclaim()
                    .announce(now + Durations.nanos(heartbeat.reclaimNoticeS().getAsDouble()));
        } else {
            machine.reclaim().withdraw();
        }
        Map<TaskId, TaskStatus> listed = new HashMap<>();
        List<TaskStatus> unbound = new ArrayList<>();
        for (TaskStatus task : heartbeat.tasks()) {
            Binding binding = machine.binding(task.task());
            if (binding != null && binding.attempt() == task.attempt()) {
                listed.put(task.task(), task);
            } else {
                unbound.add(task);
            }
        }
        for (Binding binding : ImmutableList.copyOf(machine.bindings())) {
            Binding.Phase before = binding.phase();
            reconcile(binding, listed.get(binding.task()), now);
            if (binding.phase() != before && binding.phase() != Binding.Phase.ABSENT) {
                machine.suspicion().recordAcknowledgement();
            }
        }
        if (newlyAvailable) {
            onMachineAvailable.accept(machine);
        }
        return Optional.of(selectCommands(machine, unbound, now));
    }

    private Machine machine(WorkerHeartbeat heartbeat) {
        Machine machine = cluster.machine(heartbeat.machine());
        if (machine == null) {
            long now = loop.nanos();
            machine = new Machine(heartbeat.machine(), heartbeat.address(), heartbeat.kind(), now, now);
            cluster.add(machine);
            LOG.info("machine {} ({} in {}) reports and was not known", machine.name(), machine.type(), machine.zone());
        }
        return machine;
    }

    private void reconcile(Binding binding, TaskStatus reported, long now) {
        if (reported == null) {
            binding.recordPhase(Binding.Phase.ABSENT, now);
            if (binding.stage() == Binding.Stage.ORPHANED) {
                removeOrphan(binding, now);
            } else if (binding.stage() == Binding.Stage.COMMITTED
                    && isStartForbidden(binding)
                    && !isStartUnresolved(binding)) {
                recordWriter.release(binding, false);
            }
            return;
        }
        switch (reported.state()) {
            case FETCHING -> binding.recordPhase(Binding.Phase.FETCHING, now);
            case RUNNING -> {
                if (binding.phase() != Binding.Phase.RUNNING) {
                    LOG.debug(
                            "{} of {} runs {} s after its submission, {} s after it was bound",
                            binding,
                            binding.job().spec().jobClass(),
                            (loop.wallMillis() - binding.job().submittedMs()) / 1000.0,
                            Durations.seconds(now - binding.boundAt()));
                }
                binding.recordPhase(Binding.Phase.RUNNING, now);
            }
            case CHECKPOINTING -> binding.recordPhase(Binding.Phase.CHECKPOINTING, now);
            case EXITED -> applyExit(binding, reported.cause(), now);
            default -> throw new IllegalStateException("no such state: " + reported.state());
        }
    }

    private void applyExit(Binding binding, ExitCause cause, long now) {
        if (binding.phase() == Binding.Phase.ENDED) {
            return; // its release is on the way
        }
        double elapsedS = binding.elapsedS(now);
        binding.recordPhase(Binding.Phase.ENDED, now);
        LOG.debug("{} ended: {} after {} s", binding, cause, elapsedS);
        Job job = binding.job();
        Machine machine = binding.machine();
        switch (cause) {
            case DONE, ERROR -> {
                if (job.spec().isService()) {
                    recordReplicaExit(job, machine, elapsedS, now);
                } else if (cause == ExitCause.ERROR) {
                    recordFailure(job, machine, now);
                } else {
                    machine.suspicion().failedJobs().clear();
                    job.failedMachines().clear();
                }
            }
            case NO_ROOM, BUSY, UNKNOWN -> {
                warnings.warn("start refused: " + cause, binding.toString());
                delayRetry(job, now, settings.workers().heartbeatIntervalS());
            }
            default -> {}
        }
        boolean completed = cause == ExitCause.DONE && !job.spec().isService();
        if (binding.stage() == Binding.Stage.ORPHANED && !completed) {
            removeOrphan(binding, now);
        } else {
            recordWriter.release(binding, completed);
        }
        onMachineAvailable.accept(machine);
    }

    /** An orphan is gone: no record of it has to be released. */
    private void removeOrphan(Binding orphan, long now) {
        cluster.unbind(orphan, now);
        cluster.removeIfEnded(orphan.job(), orphan.job().isCancelled());
    }

    /** Errors of several jobs on one machine speak against the machine, those of one job everywhere against the job. */
    private void recordFailure(Job job, Machine machine, long now) {
        job.failedMachines().add(machine.name());
        machine.suspicion().failedJobs().add(job.id());
        LOG.info("job {} failed on machine {}", job.id(), machine.name());
        if (!machine.suspicion().isCordoned()
                && machine.suspicion().failedJobs().size() >= FAILED_JOBS_BEFORE_CORDON
                && !job.failsOnManyMachines()) {
            machine.suspicion().cordon();
            LOG.info(
                    "machine {} is taken for faulty: {} failed on it",
                    machine.name(),
                    machine.suspicion().failedJobs());
        }
        if (job.failsOnManyMachines()) {
            double backoffS = settings.workers().heartbeatIntervalS()
                    * Math.pow(2, job.failedMachines().size());
            delayRetry(job, now, Math.min(backoffS, settings.workers().cancelS()));
        }
    }

    /**
     * A replica ended by itself, which none should. It runs again at once: elsewhere, if it ran for a short time only, and
     * less and less often once more of them in a row have done so than the service has replicas.
     */
    private void recordReplicaExit(Job job, Machine machine, double elapsedS, long now) {
        if (elapsedS >= settings.workers().leaseS()) {
            job.recordStableRun();
            return;
        }
        recordFailure(job, machine, now);
        job.countEarlyExit(
                now,
                Durations.nanos(
                        EARLY_EXIT_MEMORY_IN_CANCEL_TIMES * settings.workers().cancelS()));
        int excessExits = job.earlyExits() - job.spec().tasks();
        if (excessExits > 0) {
            double backoffS =
                    settings.workers().heartbeatIntervalS() * Math.pow(2, Math.min(excessExits, MAX_BACKOFF_DOUBLINGS));
            delayRetry(job, now, Math.min(backoffS, settings.workers().cancelS()));
        }
    }

    private static void delayRetry(Job job, long now, double seconds) {
        job.retryAfter(Math.max(job.retryAfter(), now + Durations.nanos(seconds)));
    }

    private static boolean isStartForbidden(Binding binding) {
        return binding.stopMode() != Binding.StopMode.NONE
                || binding.machine().isTerminating()
                || binding.machine().reclaim().isAnnounced()
                || binding.machine().suspicion().isCordoned()
                || binding.machine().suspicion().isSuspect();
    }

    private List<WorkerCommand> selectCommands(Machine machine, List<TaskStatus> unbound, long now) {
        List<WorkerCommand> commands = new ArrayList<>();
        for (TaskStatus task : unbound) {
            if (task.state() == WorkerHeartbeat.TaskState.EXITED) {
                if (machine.directCommands().isStartUnresolved(task.attempt())) {
                    continue; // while the worker knows the attempt, a late start of it does nothing
                }
                commands.add(WorkerCommand.forget(task.task(), task.attempt()));
            } else {
                bindOrphan(machine, task, now);
                commands.add(WorkerCommand.stop(task.task(), task.attempt(), 0));
            }
        }
        for (Binding binding : machine.bindings()) {
            checkpointBeforeReclaim(binding, now);
            WorkerCommand command = dueCommand(binding);
            if (command != null) {
                binding.recordCommandSent(now);
                commands.add(command);
            }
        }
        return commands;
    }

    /** The order that a binding calls for as things stand, or null. */
    public WorkerCommand dueCommand(Binding binding) {
        return switch (binding.phase()) {
            case ABSENT -> binding.stage() == Binding.Stage.COMMITTED && !isStartForbidden(binding)
                    ? WorkerCommand.start(binding.task(), binding.attempt())
                    : null;
            case FETCHING, RUNNING -> switch (binding.stopMode()) {
                case NONE -> null;
                case CHECKPOINT -> WorkerCommand.stop(
                        binding.task(), binding.attempt(), checkpointGraceS(binding, loop.nanos()));
                case IMMEDIATE -> WorkerCommand.stop(binding.task(), binding.attempt(), 0);
            };
            case CHECKPOINTING -> binding.stopMode() == Binding.StopMode.IMMEDIATE
                    ? WorkerCommand.stop(binding.task(), binding.attempt(), 0)
                    : null;
            case ENDED -> null; // forgotten once its end is on record
        };
    }

    /** A start sent straight to the worker is still unresolved: that the task is absent proves nothing yet. */
    private static boolean isStartUnresolved(Binding binding) {
        return binding.machine().directCommands().isStartUnresolved(binding.attempt());
    }

    /** A running task that no record knows: it should not be. It is counted where it is, and stopped. */
    private void bindOrphan(Machine machine, TaskStatus task, long now) {
        warnings.warn("task without a binding", task.task() + "#" + task.attempt() + " on " + machine.name());
        Job job = cluster.job(task.task().job());
        if (job == null
                || job.binding(task.task().index()) != null
                || task.task().index() >= job.spec().tasks()) {
            return;
        }
        Binding binding = new Binding(job, task.task().index(), task.attempt(), machine, Binding.Stage.ORPHANED, now);
        binding.requestStop(Binding.StopMode.IMMEDIATE);
        cluster.bind(binding);
    }

    /** On a machine about to be taken, a task that cannot end in time is stopped while there is time to save. */
    private void checkpointBeforeReclaim(Binding binding, long now) {
        Machine machine = binding.machine();
        boolean present = binding.phase() == Binding.Phase.RUNNING || binding.phase() == Binding.Phase.FETCHING;
        if (!present || !machine.reclaim().isAnnounced() || binding.stopMode() != Binding.StopMode.NONE) {
            return;
        }
        JobSpec spec = binding.job().spec();
        double remainingS = Durations.seconds(machine.reclaim().reclaimAt() - now);
        // The next chance to say so is a report away, at the latest one and a quarter periods.
        double lastChanceS = 2.5 * settings.workers().heartbeatIntervalS()
                + (spec.canCheckpoint() ? 1.5 * spec.checkpointDurationS() : 0);
        if (remainingS <= lastChanceS) {
            binding.requestStop(Binding.StopMode.CHECKPOINT);
        }
    }

    private double checkpointGraceS(Binding binding, long now) {
        double wanted = 2 * binding.job().spec().checkpointDurationS() + 1;
        return binding.machine().reclaim().isAnnounced()
                ? Math.max(
                        0,
                        Math.min(
                                wanted,
                                Durations.seconds(binding.machine().reclaim().reclaimAt() - now)))
                : wanted;
    }
}
