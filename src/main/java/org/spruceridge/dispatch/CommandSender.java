package org.spruceridge.dispatch;

import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Machine;
import org.spruceridge.config.Address;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.reconciliation.HeartbeatHandler;
import org.spruceridge.term.FencingTokens;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.worker.CommandResult;
import org.spruceridge.worker.WorkerClient;

/**
 * Sends start and stop commands directly to workers, without waiting for their next heartbeat.
 *
 * <p>A direct command can arrive minutes late. The worker still executes the command if the fencing token and the
 * incarnation match. A new incarnation or a newer fencing token therefore invalidates all commands in flight.
 *
 * <p>A late stop is harmless, because it stops only the attempt that it names and no later attempt of the task. A late
 * start is not harmless, because its binding may have been released in the meantime.
 *
 * <p>A worker that has executed a direct start can receive a duplicate of it at any time. The duplicate has no effect
 * while the worker knows the attempt. Therefore the worker may forget the attempt only once it has accepted a higher
 * fencing token, see {@link org.spruceridge.cluster.StartCommands#isForgettable}.
 *
 * <p>A direct start is unresolved until its result is known, or until there is proof that the worker will not execute it,
 * see {@link org.spruceridge.cluster.StartCommands}. While the start is unresolved, a heartbeat without the task does not
 * prove that the task is gone. During this time, the worker gets no command to forget the attempt. A machine that does
 * not answer a direct start gets no more tasks until there is such proof.
 */
public final class CommandSender {
    private static final Logger LOG = LoggerFactory.getLogger(CommandSender.class);

    private final Loop loop;
    private final Cluster cluster;
    private final CancellationScope scope;
    private final FencingTokens fencingTokens;
    private final WorkerClient workers;
    private final HeartbeatHandler heartbeatHandler;
    private final BooleanSupplier isLeader;
    private final Runnable onRequestCompleted;
    private final long timeoutNanos;
    /** Machines to which a request is in flight. */
    private final Set<Machine> machinesAwaitingResponse = new HashSet<>();
    /** Suspect machines to which the next probe is scheduled. */
    private final Set<Machine> machinesWithScheduledProbe = new HashSet<>();
    /** Machines whose due commands are sent after the request in flight has completed. */
    private final Set<Machine> machinesWithDeferredCommands = new HashSet<>();

    /**
     * {@code onRequestCompleted} is called after each request has completed, including requests that timed out or
     * failed.
     */
    public CommandSender(
            LeaderContext context,
            FencingTokens fencingTokens,
            WorkerClient workers,
            HeartbeatHandler heartbeatHandler,
            Runnable onRequestCompleted) {
        this.loop = context.loop();
        this.cluster = context.cluster();
        this.scope = context.scope();
        this.fencingTokens = fencingTokens;
        this.workers = workers;
        this.heartbeatHandler = heartbeatHandler;
        this.isLeader = context.isLeader();
        this.onRequestCompleted = onRequestCompleted;
        this.timeoutNanos = Durations.nanos(context.settings().workers().leaseS() / 4);
    }

    /**
     * Sends requests without commands to a machine, one after another, until the machine is no longer suspect. A response
     * shows that commands reach the machine. Sends nothing while the leader lease is possibly expired.
     */
    public void probe(Machine machine) {
        if (!machine.suspicion().isSuspect() || machine.isTerminating() || cluster.machine(machine.name()) != machine) {
            return;
        }
        if (isLeader.getAsBoolean()) {
            send(machine, CommandBatch.PROBE);
        } else {
            scheduleProbe(machine);
        }
    }

    private void scheduleProbe(Machine machine) {
        if (machinesWithScheduledProbe.add(machine)) {
            scope.after(timeoutNanos, () -> {
                machinesWithScheduledProbe.remove(machine);
                probe(machine);
            });
        }
    }

    /** Sends the commands that are due on a machine. Defers them while a request to the machine is in flight. */
    public void sendDueCommands(Machine machine) {
        if (!machine.fencing().isFenced() || machine.address().isEmpty() || !isLeader.getAsBoolean()) {
            return; // heartbeat responses carry the commands instead
        }
        if (machinesAwaitingResponse.contains(machine)) {
            machinesWithDeferredCommands.add(machine);
            return;
        }
        CommandBatch batch = CommandBatch.collect(machine, heartbeatHandler, loop);
        if (!batch.isEmpty()) {
            send(machine, batch);
        }
    }

    private void send(Machine machine, CommandBatch batch) {
        Address address;
        try {
            address = Address.parse(machine.address());
        } catch (IllegalArgumentException e) {
            return; // heartbeat responses carry the commands instead
        }
        machinesAwaitingResponse.add(machine);
        long incarnation = machine.incarnation();
        long fencingToken = fencingTokens.current(machine);
        for (Binding binding : batch.bindingsToStart()) {
            machine.startCommands().recordDirectStartSent(binding.attempt(), fencingToken);
        }
        workers.send(
                address,
                fencingToken,
                incarnation,
                batch.commands(),
                timeoutNanos,
                scope.guard(result -> handleResult(machine, incarnation, batch, result)));
    }

    private void handleResult(Machine machine, long incarnation, CommandBatch batch, CommandResult result) {
        machinesAwaitingResponse.remove(machine);
        resolveStarts(machine, incarnation, batch, result);
        retryStops(machine, batch, result);
        if (result.heartbeat().isPresent()) {
            machine.suspicion().recordAcknowledgement();
        } else if (machine.suspicion().isSuspect()) {
            scheduleProbe(machine);
        }
        result.heartbeat().ifPresent(heartbeatHandler::handleCommandResponse);
        if (machinesWithDeferredCommands.remove(machine)) {
            sendDueCommands(machine);
        }
        onRequestCompleted.run();
    }

    private void resolveStarts(Machine machine, long incarnation, CommandBatch batch, CommandResult result) {
        if (result.kind() != CommandResult.Kind.UNKNOWN) {
            for (Binding binding : batch.bindingsToStart()) {
                machine.startCommands().recordDirectStartResolved(binding.attempt());
            }
        } else if (machine.incarnation() == incarnation) {
            recordUnansweredStarts(machine, batch);
        }
    }

    private void recordUnansweredStarts(Machine machine, CommandBatch batch) {
        boolean wasUncertain = machine.startCommands().hasUncertainStart();
        for (Binding binding : batch.bindingsToStart()) {
            machine.startCommands().recordDirectStartUnanswered(binding.attempt(), loop.nanos());
        }
        if (machine.startCommands().hasUncertainStart() && !wasUncertain) {
            LOG.info("machine excluded from scheduling machine={} reason=start-unanswered", machine.name());
        }
    }

    /**
     * Sends unanswered stop commands again. Heartbeat responses repeat them too, but a machine whose heartbeats do not
     * arrive gets no responses.
     */
    private void retryStops(Machine machine, CommandBatch batch, CommandResult result) {
        if (result.heartbeat().isPresent() || batch.bindingsToStop().isEmpty()) {
            return;
        }
        batch.bindingsToStop().forEach(Binding::recordStopUnanswered);
        scope.after(timeoutNanos, () -> sendDueCommands(machine));
    }
}
