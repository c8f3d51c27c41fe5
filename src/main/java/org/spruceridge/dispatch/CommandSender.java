package org.spruceridge.dispatch;

import java.util.HashSet;
import java.util.Set;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Machine;
import org.spruceridge.config.Address;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.reconciliation.HeartbeatHandler;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.worker.CommandResult;
import org.spruceridge.worker.WorkerClient;

/**
 * Sends start and stop commands directly to workers, without waiting for their next heartbeat.
 *
 * <p>A direct command can arrive minutes late and still be executed if the fencing token and the incarnation match. A
 * late stop is harmless, because it names an attempt. A late start is not: its binding may have been released in the
 * meantime. Therefore, while a direct start is unresolved, the absence of its task from a heartbeat proves nothing, and
 * the worker gets no command to forget the attempt. A machine that does not respond to a direct start gets no more
 * tasks and is terminated. A new incarnation or a newer fencing token invalidates all commands in flight.
 */
public final class CommandSender {
    private static final Logger LOG = LoggerFactory.getLogger(CommandSender.class);

    private final Loop loop;
    private final CancellationScope scope;
    private final WorkerClient workers;
    private final HeartbeatHandler heartbeatHandler;
    private final BooleanSupplier isLeader;
    private final Runnable onComplete;
    private final long term;
    private final long timeoutNanos;
    /** Machines with a request in flight. */
    private final Set<Machine> awaitingResponse = new HashSet<>();
    /** Machines with a request in flight for which commands may have become due since it was sent. */
    private final Set<Machine> sendAfterResponse = new HashSet<>();

    /** {@code onReply} is called after each request has completed, also if it timed out or failed. */
    public CommandSender(
            LeaderContext context, WorkerClient workers, HeartbeatHandler heartbeatHandler, Runnable onComplete) {
        this.loop = context.loop();
        this.scope = context.scope();
        this.workers = workers;
        this.heartbeatHandler = heartbeatHandler;
        this.isLeader = context.isLeader();
        this.onComplete = onComplete;
        this.term = context.term().term();
        this.timeoutNanos = Durations.nanos(context.settings().workers().leaseS() / 4);
    }

    /** Sends a request without commands to a suspect machine; a response shows that commands reach the machine. */
    public void probe(Machine machine) {
        if (isLeader.getAsBoolean()) {
            send(machine, CommandBatch.PROBE);
        }
    }

    /** Sends the commands that are due on a machine, or defers them until the request in flight to it has completed. */
    public void sendDueCommands(Machine machine) {
        if (!machine.lease().isFenced() || machine.address().isEmpty() || !isLeader.getAsBoolean()) {
            return; // heartbeat responses carry the commands instead
        }
        if (awaitingResponse.contains(machine)) {
            sendAfterResponse.add(machine);
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
        awaitingResponse.add(machine);
        long incarnation = machine.incarnation();
        for (Binding binding : batch.starts()) {
            machine.directCommands().startSent(binding.attempt());
        }
        workers.send(
                address,
                term,
                incarnation,
                batch.commands(),
                timeoutNanos,
                scope.guard(result -> handleResult(machine, incarnation, batch, result)));
    }

    private void handleResult(Machine machine, long incarnation, CommandBatch batch, CommandResult result) {
        awaitingResponse.remove(machine);
        resolveStarts(machine, incarnation, batch, result);
        retryStops(machine, batch, result);
        if (result.heartbeat().isPresent()) {
            machine.suspicion().recordAcknowledgement();
        } else if (machine.suspicion().isSuspect() && !machine.isTerminating()) {
            scope.after(timeoutNanos, () -> probe(machine));
        }
        result.heartbeat().ifPresent(heartbeatHandler::handleCommandResponse);
        if (sendAfterResponse.remove(machine)) {
            sendDueCommands(machine);
        }
        onComplete.run();
    }

    private void resolveStarts(Machine machine, long incarnation, CommandBatch batch, CommandResult result) {
        if (result.kind() != CommandResult.Kind.UNKNOWN) {
            for (Binding binding : batch.starts()) {
                machine.directCommands().startResolved(binding.attempt());
            }
        } else if (!batch.starts().isEmpty() && machine.incarnation() == incarnation) {
            LOG.info("machine excluded from scheduling machine={} reason=start-unanswered", machine.name());
            machine.directCommands().markStartUncertain();
        }
    }

    /**
     * Sends unanswered stops again. Heartbeat responses repeat them as well, but not to a machine whose heartbeats do
     * not arrive.
     */
    private void retryStops(Machine machine, CommandBatch batch, CommandResult result) {
        if (result.heartbeat().isPresent() || batch.stops().isEmpty()) {
            return;
        }
        batch.stops().forEach(Binding::recordStopUnanswered);
        scope.after(timeoutNanos, () -> sendDueCommands(machine));
    }
}
