package org.spruceridge.dispatch;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
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
import org.spruceridge.worker.WorkerCommand;

/**
 * Sends starts and stops to workers without waiting for their next report.
 *
 * <p>Such an order can arrive minutes late, as long as the token and the session still match. A late stop names an
 * attempt and harms nothing. A late start would, once its binding is released: so while a pushed start is unresolved
 * its absence from a report proves nothing, the worker is not told to forget the attempt, and a machine that did not
 * answer a push gets no more work and is returned. A new session or a newer token voids whatever is on its way.
 */
public final class CommandSender {
    private static final Logger LOG = LoggerFactory.getLogger(CommandSender.class);

    private final Loop loop;
    private final CancellationScope scope;
    private final WorkerClient workers;
    private final HeartbeatHandler heartbeatHandler;
    private final BooleanSupplier isLeader;
    private final Runnable onReply;
    private final long term;
    private final long timeoutNanos;
    private final Set<Machine> awaitingReply = new HashSet<>();
    private final Set<Machine> sendAfterReply = new HashSet<>();

    /** {@code isLeader} tells whether commands may still be sent; {@code onReply} hears of each answer. */
    public CommandSender(
            LeaderContext context, WorkerClient workers, HeartbeatHandler heartbeatHandler, Runnable onReply) {
        this.loop = context.loop();
        this.scope = context.scope();
        this.workers = workers;
        this.heartbeatHandler = heartbeatHandler;
        this.isLeader = context.isLeader();
        this.onReply = onReply;
        this.term = context.term().term();
        this.timeoutNanos = Durations.nanos(context.settings().workers().leaseS() / 4);
    }

    /** Asks a machine for a sign that our words reach it. */
    public void probe(Machine machine) {
        if (isLeader.getAsBoolean()) {
            send(machine, List.of(), List.of(), List.of());
        }
    }

    /** Pushes whatever is due on a machine, unless a push is on its way: then once that has been answered. */
    public void sendDueCommands(Machine machine) {
        if (!machine.lease().isFenced() || machine.address().isEmpty() || !isLeader.getAsBoolean()) {
            return; // the answers to its reports will do
        }
        if (awaitingReply.contains(machine)) {
            sendAfterReply.add(machine);
            return;
        }
        List<WorkerCommand> commands = new ArrayList<>();
        List<Binding> starts = new ArrayList<>();
        List<Binding> stops = new ArrayList<>();
        for (Binding binding : machine.bindings()) {
            WorkerCommand command = heartbeatHandler.dueCommand(binding);
            // Only the first start is pushed: what that did not bring about is left to the answers to reports.
            boolean start = command != null
                    && command.verb() == WorkerCommand.Verb.START
                    && !binding.isStartSent()
                    && !machine.directCommands().hasUncertainStart();
            boolean stop = command != null && command.verb() == WorkerCommand.Verb.STOP && !binding.isStopSent();
            if (start) {
                starts.add(binding);
                binding.recordStartSent();
            }
            if (stop) {
                stops.add(binding);
                binding.recordStopSent();
            }
            if (start || stop) {
                commands.add(command);
                binding.recordCommandSent(loop.nanos());
            }
        }
        if (commands.isEmpty()) {
            return;
        }
        send(machine, commands, starts, stops);
    }

    private void send(Machine machine, List<WorkerCommand> commands, List<Binding> starts, List<Binding> stops) {
        Address address;
        try {
            address = Address.parse(machine.address());
        } catch (IllegalArgumentException e) {
            return; // the answers to its reports will do
        }
        awaitingReply.add(machine);
        long incarnation = machine.incarnation();
        starts.forEach(binding -> machine.directCommands().startSent(binding.attempt()));
        workers.send(address, term, incarnation, commands, timeoutNanos, scope.guard(result -> {
            awaitingReply.remove(machine);
            if (result.kind() == CommandResult.Kind.UNKNOWN) {
                if (!starts.isEmpty() && machine.incarnation() == incarnation) {
                    LOG.info("machine {} did not answer a push: it gets no more work", machine.name());
                    machine.directCommands().markStartUncertain();
                }
            } else {
                starts.forEach(binding -> machine.directCommands().startResolved(binding.attempt()));
            }
            if (result.heartbeat().isEmpty() && !stops.isEmpty()) {
                // The answers to its reports repeat a stop; a machine that cannot report is told again from here.
                stops.forEach(binding -> binding.recordStopUnanswered());
                scope.after(timeoutNanos, () -> sendDueCommands(machine));
            }
            if (result.heartbeat().isPresent()) {
                machine.suspicion().recordAcknowledgement();
            } else if (machine.suspicion().isSuspect() && !machine.isTerminating()) {
                scope.after(timeoutNanos, () -> probe(machine));
            }
            result.heartbeat().ifPresent(heartbeatHandler::apply);
            if (sendAfterReply.remove(machine)) {
                sendDueCommands(machine);
            }
            onReply.run();
        }));
    }
}
