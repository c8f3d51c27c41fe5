package org.spruceridge.reconciliation;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.net.Loop;
import org.spruceridge.persistence.RecordWriter;
import org.spruceridge.reconciliation.HeartbeatResult.Reconciled;
import org.spruceridge.reconciliation.HeartbeatResult.Rejected;
import org.spruceridge.term.FencingTokens;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.worker.WorkerCommand;
import org.spruceridge.worker.WorkerHeartbeat;
import org.spruceridge.worker.WorkerHeartbeat.TaskStatus;

/**
 * Applies the heartbeats of workers to the cluster state and responds with commands. The steps are, in this order:
 * admission, recording, reconciliation of bindings, selection of commands, and renewal of the worker's lease.
 */
public final class HeartbeatHandler {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatHandler.class);

    private final Loop loop;
    private final Cluster cluster;
    private final HeartbeatAdmission admission;
    private final FailureTracker failureTracker;
    private final BindingReconciler bindingReconciler;
    private final CommandSelector commandSelector;
    private final LeaseRenewals leaseRenewals;
    private final FencingTokens fencingTokens;
    private final FencingTokenRaiser fencingTokenRaiser;
    private final Consumer<Machine> onMachineAvailable;

    /**
     * {@code onMachineAvailable} is called for each machine with newly available capacity: after the machine's first
     * heartbeat of an incarnation or a term, after a task on the machine has exited, when its cordon has ended, and when
     * no start on it is uncertain any more.
     */
    public HeartbeatHandler(
            LeaderContext context,
            FencingTokens fencingTokens,
            RecordWriter recordWriter,
            Consumer<Machine> onMachineAvailable) {
        OrphanBindings orphanBindings = new OrphanBindings(context.cluster(), context.warnings());
        this.loop = context.loop();
        this.cluster = context.cluster();
        this.admission = new HeartbeatAdmission(context, fencingTokens);
        this.failureTracker = new FailureTracker(
                context.cluster(), context.settings().workers(), new MachineCordons(onMachineAvailable));
        this.bindingReconciler =
                new BindingReconciler(context, recordWriter, failureTracker, orphanBindings, onMachineAvailable);
        this.commandSelector = new CommandSelector(context, orphanBindings);
        this.leaseRenewals = new LeaseRenewals(context, fencingTokens);
        this.fencingTokens = fencingTokens;
        this.fencingTokenRaiser = new FencingTokenRaiser(context, fencingTokens);
        this.onMachineAvailable = onMachineAvailable;
    }

    /**
     * Handles a heartbeat sent by a worker. Returns the content of the response, which renews the worker's lease. Callers
     * ask {@link #withholdsResponse} before.
     */
    public HeartbeatReply handle(WorkerHeartbeat heartbeat) {
        HeartbeatResult result = apply(heartbeat, HeartbeatOrigin.WORKER_REQUEST);
        leaseRenewals.record(heartbeat);
        if (result instanceof Reconciled reconciled) {
            Machine machine = reconciled.machine();
            recordStarts(machine, reconciled.commands());
            fencingTokenRaiser.raiseIfDue(machine, heartbeat, reconciled.unboundStatuses());
            return new HeartbeatReply(fencingTokens.current(machine), reconciled.commands());
        }
        Machine machine = cluster.machine(heartbeat.machine());
        long fencingToken = machine == null ? fencingTokens.first() : fencingTokens.current(machine);
        return new HeartbeatReply(fencingToken, commandSelector.stopsForEndedJobs(heartbeat));
    }

    /**
     * Records the starts in the response to a heartbeat. Until the next heartbeat, the worker can still execute them,
     * even if the result of a direct command shows that it has not executed them yet.
     */
    private static void recordStarts(Machine machine, List<WorkerCommand> commands) {
        for (WorkerCommand command : commands) {
            if (command.verb() == WorkerCommand.Verb.START) {
                machine.startCommands().recordStartInResponse(command.attempt());
            }
        }
    }

    /**
     * Handles a heartbeat during the failover. All open jobs are known then, but machines and bindings are not known
     * yet.
     */
    public HeartbeatReply handleDuringFailover(WorkerHeartbeat heartbeat) {
        leaseRenewals.recordDuringFailover(heartbeat);
        return new HeartbeatReply(fencingTokens.first(), commandSelector.stopsForEndedJobs(heartbeat));
    }

    /** Handles a heartbeat that arrived with the result of a direct command. Such a heartbeat gets no response. */
    public void handleCommandResponse(WorkerHeartbeat heartbeat) {
        apply(heartbeat, HeartbeatOrigin.COMMAND_RESPONSE);
    }

    /** Records that a job was cancelled: its failures then indicate no faulty machine. */
    public void recordCancellation(Job job) {
        failureTracker.recordCancellation(job, loop.nanos());
    }

    /** Called when the failover is complete. All recorded machines are known from then on. */
    public void failoverCompleted() {
        leaseRenewals.failoverCompleted();
    }

    /**
     * Returns whether the heartbeat must get no response: in order to let the worker's lease expire, or because the
     * worker would accept a fencing token with which it executes duplicates of earlier starts.
     */
    public boolean withholdsResponse(WorkerHeartbeat heartbeat) {
        Machine machine = cluster.machine(heartbeat.machine());
        return leaseRenewals.isResponseWithheld(heartbeat)
                || (machine != null && !fencingTokenRaiser.raiseIfStateWasLost(machine, heartbeat));
    }

    /** Returns the command that the current state of a binding requires; empty if it requires none. */
    public Optional<WorkerCommand> dueCommand(Binding binding) {
        return commandSelector.dueCommand(binding);
    }

    private HeartbeatResult apply(WorkerHeartbeat heartbeat, HeartbeatOrigin origin) {
        Optional<Rejected> rejected = admission.check(heartbeat);
        if (rejected.isPresent()) {
            return rejected.get();
        }
        Machine machine = cluster.machine(heartbeat.machine());
        long now = loop.nanos();
        boolean hadUncertainStart = machine.startCommands().hasUncertainStart();
        boolean machineBecomesAvailable = admission.makesMachineAvailable(machine, heartbeat);
        admission.record(machine, heartbeat, origin, now);
        if (hadUncertainStart && !machine.startCommands().hasUncertainStart()) {
            LOG.info("machine schedulable again machine={} reason=start-settled", machine.name());
            machineBecomesAvailable = true;
        }
        List<TaskStatus> unboundStatuses = bindingReconciler.reconcile(machine, heartbeat.tasks(), now);
        if (machineBecomesAvailable) {
            onMachineAvailable.accept(machine);
        }
        List<WorkerCommand> commands = commandSelector.commandsFor(machine, unboundStatuses, now);
        return new Reconciled(machine, commands, unboundStatuses);
    }
}
