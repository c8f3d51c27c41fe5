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
    private static final int FAULTY_JOBS = 2;
    /** For how long an early end of a replica counts, against the longest time for which a service is held back. */
    private static final double EARLY_EXITS_OF_CANCEL = 2;
    /** That time is not doubled more often. */
    private static final int MOST_DOUBLINGS = 16;

    private final Loop loop;
    private final Cluster cluster;
    private final RecordWriter recordWriter;
    private final long term;
    private final Settings settings;
    private final RateLimitedWarnings warnings;
    private final Consumer<Machine> available;
    /** When machines were last answered that are not in the cluster state yet. */
    private final Map<String, Long> leaseRenewedDuringFailover = new HashMap<>();

    /** {@code available} is told of machines that have room anew: that begin to report, or that a task has left. */
    public HeartbeatHandler(LeaderContext context, RecordWriter recordWriter, Consumer<Machine> available) {
        this.loop = context.loop();
        this.cluster = context.cluster();
        this.recordWriter = recordWriter;
        this.term = context.term().term();
        this.settings = context.settings();
        this.warnings = context.warnings();
        this.available = available;
    }

    /** Takes note that a machine reported and is handed this term's token; its tasks are not looked at. */
    private void acknowledge(WorkerHeartbeat heartbeat) {
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
        acknowledge(heartbeat);
        return commands.orElseGet(() -> stopsOfEndedJobs(heartbeat));
    }

    /** Answers a report while the failover is under way: only jobs are known yet, and of those all that are open. */
    public List<WorkerCommand> handleDuringFailover(WorkerHeartbeat heartbeat) {
        leaseRenewedDuringFailover.put(heartbeat.machine(), loop.nanos());
        return stopsOfEndedJobs(heartbeat);
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
    private List<WorkerCommand> stopsOfEndedJobs(WorkerHeartbeat heartbeat) {
        return heartbeat.tasks().stream()
                .filter(t -> t.state() != WorkerHeartbeat.TaskState.EXITED
                        && !isOpen(t.task().job()))
                .map(t -> WorkerCommand.stop(t.task(), t.attempt(), 0))
                .toList();
    }

    private boolean isOpen(String id) {
        Job job = cluster.job(id);
        return job != null && !job.cancelled();
    }

    /**
     * True if answering this machine would only put off the proof that its tasks are gone: it is being given back and
     * does not do as it is told, or it has long been answered and does not show this term's token.
     */
    public boolean ignores(WorkerHeartbeat heartbeat) {
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
    private Optional<List<WorkerCommand>> apply(WorkerHeartbeat heartbeat, boolean byItself) {
        // A report with another token may be a copy of any age, of a machine that is gone: it tells nothing. The answer
        // brings this term's token, and the next report with it. A machine that was given back stays so.
        if (heartbeat.fencingToken() != term || cluster.isGone(heartbeat.machine())) {
            return Optional.empty();
        }
        Machine machine = machine(heartbeat);
        if (!machine.heartbeatVersion().isSupersededBy(heartbeat.incarnation(), heartbeat.sequence())) {
            return Optional.empty();
        }
        long now = loop.nanos();
        boolean fresh =
                !machine.lease().isFenced() || machine.heartbeatVersion().isNewIncarnation(heartbeat.incarnation());
        if (byItself) {
            machine.recordHeartbeat(heartbeat.incarnation(), heartbeat.sequence(), heartbeat.address(), now);
        } else {
            machine.recordStatus(heartbeat.incarnation(), heartbeat.sequence(), heartbeat.address(), now);
        }
        machine.lease().fence();
        if (heartbeat.noticeS().isPresent()) {
            machine.reclaim().announce(now + Durations.nanos(heartbeat.noticeS().getAsDouble()));
        } else {
            machine.reclaim().withdraw();
        }
        Map<TaskId, TaskStatus> listed = new HashMap<>();
        List<TaskStatus> unbound = new ArrayList<>();
        for (TaskStatus task : heartbeat.tasks()) {
            Binding b = machine.binding(task.task());
            if (b != null && b.attempt() == task.attempt()) {
                listed.put(task.task(), task);
            } else {
                unbound.add(task);
            }
        }
        for (Binding b : ImmutableList.copyOf(machine.bindings())) {
            Binding.Phase before = b.phase();
            reconcile(b, listed.get(b.task()), now);
            if (b.phase() != before && b.phase() != Binding.Phase.ABSENT) {
                machine.suspicion().recordAcknowledgement();
            }
        }
        if (fresh) {
            available.accept(machine);
        }
        return Optional.of(commands(machine, unbound, now));
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

    private void reconcile(Binding b, TaskStatus seen, long now) {
        if (seen == null) {
            b.phase(Binding.Phase.ABSENT, now);
            if (b.stage() == Binding.Stage.ORPHANED) {
                letGo(b, now);
            } else if (b.stage() == Binding.Stage.COMMITTED && mustNotStart(b) && !startMayCome(b)) {
                recordWriter.release(b, false);
            }
            return;
        }
        switch (seen.state()) {
            case FETCHING -> b.phase(Binding.Phase.FETCHING, now);
            case RUNNING -> {
                if (b.phase() != Binding.Phase.RUNNING) {
                    LOG.debug(
                            "{} of {} runs {} s after its submission, {} s after it was bound",
                            b,
                            b.job().spec().jobClass(),
                            (loop.wallMillis() - b.job().submittedMs()) / 1000.0,
                            Durations.seconds(now - b.boundAt()));
                }
                b.phase(Binding.Phase.RUNNING, now);
            }
            case CHECKPOINTING -> b.phase(Binding.Phase.CHECKPOINTING, now);
            case EXITED -> exited(b, seen.cause(), now);
            default -> throw new IllegalStateException("no such state: " + seen.state());
        }
    }

    private void exited(Binding b, ExitCause cause, long now) {
        if (b.phase() == Binding.Phase.ENDED) {
            return; // its release is on the way
        }
        double ranS = b.elapsedS(now);
        b.phase(Binding.Phase.ENDED, now);
        LOG.debug("{} ended: {} after {} s", b, cause, ranS);
        Job job = b.job();
        Machine machine = b.machine();
        switch (cause) {
            case DONE, ERROR -> {
                if (job.spec().isService()) {
                    replicaEnded(job, machine, ranS, now);
                } else if (cause == ExitCause.ERROR) {
                    failed(job, machine, now);
                } else {
                    machine.suspicion().failedJobs().clear();
                    job.faultyOn().clear();
                }
            }
            case NO_ROOM, BUSY, UNKNOWN -> {
                warnings.warn("start refused: " + cause, b.toString());
                backOff(job, now, settings.workers().heartbeatIntervalS());
            }
            default -> {}
        }
        boolean completed = cause == ExitCause.DONE && !job.spec().isService();
        if (b.stage() == Binding.Stage.ORPHANED && !completed) {
            letGo(b, now);
        } else {
            recordWriter.release(b, completed);
        }
        available.accept(machine);
    }

    /** An orphan is gone: no record of it has to be released. */
    private void letGo(Binding orphan, long now) {
        cluster.unbind(orphan, now);
        cluster.removeIfOver(orphan.job(), orphan.job().cancelled());
    }

    /** Errors of several jobs on one machine speak against the machine, those of one job everywhere against the job. */
    private void failed(Job job, Machine machine, long now) {
        job.faultyOn().add(machine.name());
        machine.suspicion().failedJobs().add(job.id());
        LOG.info("job {} failed on machine {}", job.id(), machine.name());
        if (!machine.suspicion().isCordoned()
                && machine.suspicion().failedJobs().size() >= FAULTY_JOBS
                && !job.suspectedFaulty()) {
            machine.suspicion().cordon();
            LOG.info(
                    "machine {} is taken for faulty: {} failed on it",
                    machine.name(),
                    machine.suspicion().failedJobs());
        }
        if (job.suspectedFaulty()) {
            double backoffS = settings.workers().heartbeatIntervalS()
                    * Math.pow(2, job.faultyOn().size());
            backOff(job, now, Math.min(backoffS, settings.workers().cancelS()));
        }
    }

    /**
     * A replica ended by itself, which none should. It runs again at once: elsewhere, if it ran for a short time only, and
     * less and less often once more of them in a row have done so than the service has replicas.
     */
    private void replicaEnded(Job job, Machine machine, double ranS, long now) {
        if (ranS >= settings.workers().leaseS()) {
            job.provenToRun();
            return;
        }
        failed(job, machine, now);
        job.countEarlyExit(
                now, Durations.nanos(EARLY_EXITS_OF_CANCEL * settings.workers().cancelS()));
        int beyond = job.earlyExits() - job.spec().tasks();
        if (beyond > 0) {
            double backoffS = settings.workers().heartbeatIntervalS() * Math.pow(2, Math.min(beyond, MOST_DOUBLINGS));
            backOff(job, now, Math.min(backoffS, settings.workers().cancelS()));
        }
    }

    private static void backOff(Job job, long now, double seconds) {
        job.retryAfter(Math.max(job.retryAfter(), now + Durations.nanos(seconds)));
    }

    private static boolean mustNotStart(Binding b) {
        return b.stopMode() != Binding.StopMode.NONE
                || b.machine().isTerminating()
                || b.machine().reclaim().isAnnounced()
                || b.machine().suspicion().isCordoned()
                || b.machine().suspicion().isSuspect();
    }

    private List<WorkerCommand> commands(Machine machine, List<TaskStatus> unbound, long now) {
        List<WorkerCommand> commands = new ArrayList<>();
        for (TaskStatus task : unbound) {
            if (task.state() == WorkerHeartbeat.TaskState.EXITED) {
                if (machine.directCommands().isStartUnresolved(task.attempt())) {
                    continue; // while the worker knows the attempt, a late start of it does nothing
                }
                commands.add(WorkerCommand.forget(task.task(), task.attempt()));
            } else {
                addOrphan(machine, task, now);
                commands.add(WorkerCommand.stop(task.task(), task.attempt(), 0));
            }
        }
        for (Binding b : machine.bindings()) {
            stopBeforeReclaim(b, now);
            WorkerCommand due = due(b);
            if (due != null) {
                b.commandSent(now);
                commands.add(due);
            }
        }
        return commands;
    }

    /** The order that a binding calls for as things stand, or null. */
    public WorkerCommand due(Binding b) {
        return switch (b.phase()) {
            case ABSENT -> b.stage() == Binding.Stage.COMMITTED && !mustNotStart(b)
                    ? WorkerCommand.start(b.task(), b.attempt())
                    : null;
            case FETCHING, RUNNING -> switch (b.stopMode()) {
                case NONE -> null;
                case CHECKPOINT -> WorkerCommand.stop(b.task(), b.attempt(), graceS(b, loop.nanos()));
                case IMMEDIATE -> WorkerCommand.stop(b.task(), b.attempt(), 0);
            };
            case CHECKPOINTING -> b.stopMode() == Binding.StopMode.IMMEDIATE
                    ? WorkerCommand.stop(b.task(), b.attempt(), 0)
                    : null;
            case ENDED -> null; // forgotten once its end is on record
        };
    }

    /** A start sent straight to the worker is still unresolved: that the task is absent proves nothing yet. */
    private static boolean startMayCome(Binding b) {
        return b.machine().directCommands().isStartUnresolved(b.attempt());
    }

    /** A running task that no record knows: it should not be. It is counted where it is, and stopped. */
    private void addOrphan(Machine machine, TaskStatus task, long now) {
        warnings.warn("task without a binding", task.task() + "#" + task.attempt() + " on " + machine.name());
        Job job = cluster.job(task.task().job());
        if (job == null
                || job.binding(task.task().index()) != null
                || task.task().index() >= job.spec().tasks()) {
            return;
        }
        Binding b = new Binding(job, task.task().index(), task.attempt(), machine, Binding.Stage.ORPHANED, now);
        b.stopMode(Binding.StopMode.IMMEDIATE);
        cluster.bind(b);
    }

    /** On a machine about to be taken, a task that cannot end in time is stopped while there is time to save. */
    private void stopBeforeReclaim(Binding b, long now) {
        Machine machine = b.machine();
        boolean there = b.phase() == Binding.Phase.RUNNING || b.phase() == Binding.Phase.FETCHING;
        if (!there || !machine.reclaim().isAnnounced() || b.stopMode() != Binding.StopMode.NONE) {
            return;
        }
        JobSpec spec = b.job().spec();
        double leftS = Durations.seconds(machine.reclaim().reclaimAt() - now);
        // The next chance to say so is a report away, at the latest one and a quarter periods.
        double lastChanceS = 2.5 * settings.workers().heartbeatIntervalS()
                + (spec.canCheckpoint() ? 1.5 * spec.checkpointDurationS() : 0);
        if (leftS <= lastChanceS) {
            b.stopMode(Binding.StopMode.CHECKPOINT);
        }
    }

    private double graceS(Binding b, long now) {
        double wanted = 2 * b.job().spec().checkpointDurationS() + 1;
        return b.machine().reclaim().isAnnounced()
                ? Math.max(
                        0,
                        Math.min(wanted, Durations.seconds(b.machine().reclaim().reclaimAt() - now)))
                : wanted;
    }
}
