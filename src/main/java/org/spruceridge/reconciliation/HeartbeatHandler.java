package org.spruceridge.reconciliation;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Machine;
import org.spruceridge.net.Loop;
import org.spruceridge.persistence.RecordWriter;
import org.spruceridge.reconciliation.HeartbeatResult.Reconciled;
import org.spruceridge.reconciliation.HeartbeatResult.Rejected;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.worker.WorkerCommand;
import org.spruceridge.worker.WorkerHeartbeat;
import org.spruceridge.worker.WorkerHeartbeat.TaskStatus;

/**
 * Takes the heartbeats of workers into the cluster state and answers them with commands. The steps are, in this order:
 * admission, recording, reconciliation of bindings, the choice of commands, and the renewal of the worker's lease.
 */
public final class HeartbeatHandler {
    private final Loop loop;
    private final Cluster cluster;
    private final HeartbeatAdmission admission;
    private final BindingReconciler bindingReconciler;
    private final CommandSelector commandSelector;
    private final LeaseRenewals leaseRenewals;
    private final Consumer<Machine> onMachineAvailable;

    /**
     * {@code onMachineAvailable} is called for each machine that has new room: its heartbeats begin, or a task on it has
     * exited.
     */
    public HeartbeatHandler(LeaderContext context, RecordWriter recordWriter, Consumer<Machine> onMachineAvailable) {
        OrphanBindings orphans = new OrphanBindings(context.cluster(), context.warnings());
        this.loop = context.loop();
        this.cluster = context.cluster();
        this.admission = new HeartbeatAdmission(context);
        this.bindingReconciler = new BindingReconciler(context, recordWriter, orphans, onMachineAvailable);
        this.commandSelector = new CommandSelector(context, orphans);
        this.leaseRenewals = new LeaseRenewals(context);
        this.onMachineAvailable = onMachineAvailable;
    }

    /** Handles a heartbeat that a worker sent by itself; returns the commands of the response, which renews its lease. */
    public List<WorkerCommand> handle(WorkerHeartbeat heartbeat) {
        HeartbeatResult result = apply(heartbeat, HeartbeatOrigin.WORKER_REQUEST);
        leaseRenewals.record(heartbeat);
        return result instanceof Reconciled reconciled
                ? reconciled.commands()
                : commandSelector.stopsOfEndedJobs(heartbeat);
    }

    /** Handles a heartbeat while the failover is under way: only jobs are known yet, and of those all that are open. */
    public List<WorkerCommand> handleDuringFailover(WorkerHeartbeat heartbeat) {
        leaseRenewals.recordDuringFailover(heartbeat);
        return commandSelector.stopsOfEndedJobs(heartbeat);
    }

    /** Handles a heartbeat that came with the result of a direct command, to which there is no response. */
    public void handleReply(WorkerHeartbeat heartbeat) {
        apply(heartbeat, HeartbeatOrigin.COMMAND_REPLY);
    }

    /** The machines of the records are known from now on. */
    public void failoverCompleted() {
        leaseRenewals.failoverCompleted();
    }

    /** True if the heartbeat must not be answered, so that the worker's lease expires. */
    public boolean withholdsResponse(WorkerHeartbeat heartbeat) {
        return leaseRenewals.areWithheldFrom(heartbeat);
    }

    /** The command that a binding calls for at present, if any. */
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
        boolean becomesAvailable = admission.makesAvailable(machine, heartbeat);
        admission.record(machine, heartbeat, origin, now);
        List<TaskStatus> unbound = bindingReconciler.reconcile(machine, heartbeat.tasks(), now);
        if (becomesAvailable) {
            onMachineAvailable.accept(machine);
        }
        return new Reconciled(commandSelector.commandsFor(machine, unbound, now));
    }
}
