package org.spruceridge.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Machine;
import org.spruceridge.net.Loop;
import org.spruceridge.reconciliation.HeartbeatHandler;
import org.spruceridge.worker.WorkerCommand;

/** The commands of one direct request to a worker, and the bindings whose tasks the request starts and stops. */
record CommandBatch(List<WorkerCommand> commands, List<Binding> bindingsToStart, List<Binding> bindingsToStop) {
    /** A batch without commands, for a request that only asks the worker to respond. */
    static final CommandBatch PROBE = new CommandBatch(List.of(), List.of(), List.of());

    /**
     * Collects the commands that are due on a machine and have not been sent directly yet. Records these commands as
     * sent.
     */
    static CommandBatch collect(Machine machine, HeartbeatHandler heartbeatHandler, Loop loop) {
        CommandBatch batch = new CommandBatch(new ArrayList<>(), new ArrayList<>(), new ArrayList<>());
        for (Binding binding : machine.bindings()) {
            Optional<WorkerCommand> command = heartbeatHandler.dueCommand(binding);
            if (command.isPresent()) {
                batch.addUnlessSent(binding, command.get(), loop);
            }
        }
        return batch;
    }

    private void addUnlessSent(Binding binding, WorkerCommand command, Loop loop) {
        switch (command.verb()) {
            case START -> {
                // Only the first start command of a binding is sent directly. Heartbeat responses carry the retries.
                if (binding.isStartSent() || binding.machine().startCommands().hasUncertainStart()) {
                    return;
                }
                bindingsToStart.add(binding);
                binding.recordStartSent();
            }
            case STOP -> {
                if (binding.isStopSent()) {
                    return;
                }
                bindingsToStop.add(binding);
                binding.recordStopSent();
            }
            default -> {
                return;
            }
        }
        commands.add(command);
        binding.recordCommandSent(loop.nanos());
    }

    boolean isEmpty() {
        return commands.isEmpty();
    }
}
