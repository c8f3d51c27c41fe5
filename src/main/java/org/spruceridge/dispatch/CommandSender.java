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
    private final BooleanSupplier leads;
    private final Runnable changed;
    private final long term;
    private final long timeout;
    private final Set<Machine> busy = new HashSet<>();
    private final Set<Machine> pushPending = new HashSet<>();

    /** {@code leads} tells whether commands may still be sent; {@code changed} hears of each answer. */
    public CommandSender(
            LeaderContext context, WorkerClient workers, HeartbeatHandler heartbeatHandler, Runnable changed) {
        this.loop = context.loop();
        this.scope = context.scope();
        this.workers = workers;
        this.heartbeatHandler = heartbeatHandler;
        this.leads = context.leads();
        this.changed = changed;
        this.term = context.term().term();
        this.timeout = Durations.nanos(context.settings().workers().leaseS() / 4);
    }

    /** Asks a machine for a sign that our words reach it. */
    public void probe(Machine m) {
        if (leads.getAsBoolean()) {
            send(m, List.of(), List.of(), List.of());
        }
    }

    /** Pushes whatever is due on a machine, unless a push is on its way: then once that has been answered. */
    public void push(Machine m) {
        if (!m.lease().isFenced() || m.address().isEmpty() || !leads.getAsBoolean()) {
            return; // the answers to its reports will do
        }
        if (busy.contains(m)) {
            pushPending.add(m);
            return;
        }
        List<WorkerCommand> commands = new ArrayList<>();
        List<Binding> starts = new ArrayList<>();
        List<Binding> stops = new ArrayList<>();
        for (Binding b : m.bindings()) {
            WorkerCommand command = heartbeatHandler.due(b);
            // Only the first start is pushed: what that did not bring about is left to the answers to reports.
            boolean start = command != null
                    && command.verb() == WorkerCommand.Verb.START
                    && !b.pushed()
                    && !m.directCommands().hasUncertainStart();
            boolean stop = command != null && command.verb() == WorkerCommand.Verb.STOP && !b.stopPushed();
            if (start) {
                starts.add(b);
                b.startPushed();
            }
            if (stop) {
                stops.add(b);
                b.stopPushed(true);
            }
            if (start || stop) {
                commands.add(command);
                b.commandSent(loop.nanos());
            }
        }
        if (commands.isEmpty()) {
            return;
        }
        send(m, commands, starts, stops);
    }

    private void send(Machine m, List<WorkerCommand> commands, List<Binding> starts, List<Binding> stops) {
        Address address;
        try {
            address = Address.parse(m.address());
        } catch (IllegalArgumentException e) {
            return; // the answers to its reports will do
        }
        busy.add(m);
        long incarnation = m.incarnation();
        starts.forEach(b -> m.directCommands().startSent(b.attempt()));
        workers.push(address, term, incarnation, commands, timeout, scope.guard(push -> {
            busy.remove(m);
            if (push.kind() == CommandResult.Kind.UNKNOWN) {
                if (!starts.isEmpty() && m.incarnation() == incarnation) {
                    LOG.info("machine {} did not answer a push: it gets no more work", m.name());
                    m.directCommands().markStartUncertain();
                }
            } else {
                starts.forEach(b -> m.directCommands().startResolved(b.attempt()));
            }
            if (push.heartbeat().isEmpty() && !stops.isEmpty()) {
                // The answers to its reports repeat a stop; a machine that cannot report is told again from here.
                stops.forEach(b -> b.stopPushed(false));
                scope.after(timeout, () -> push(m));
            }
            if (push.heartbeat().isPresent()) {
                m.suspicion().recordAcknowledgement();
            } else if (m.suspicion().isSuspect() && !m.isTerminating()) {
                scope.after(timeout, () -> probe(m));
            }
            push.heartbeat().ifPresent(heartbeatHandler::apply);
            if (pushPending.remove(m)) {
                push(m);
            }
            changed.run();
        }));
    }
}
