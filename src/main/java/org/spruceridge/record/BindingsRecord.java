package org.spruceridge.record;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableListMultimap;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessageUnpacker;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.cluster.TaskId;
import org.spruceridge.net.BadMessageException;

/** A stored page of bindings: for each of many machines, the tasks bound to it. Machines are grouped by kind. */
public final class BindingsRecord {
    /** The encoded size of a machine's array headers and numbers, without its name and bindings. */
    private static final int MACHINE_OVERHEAD_BYTES = 5;

    /** The maximum encoded size of a binding without its job id: 5 bytes for the task index, 9 for the attempt. */
    private static final int BINDING_OVERHEAD_BYTES = 5 + 9;

    /** The encoded size of a machine kind without the names of its type and zone. */
    private static final int KIND_OVERHEAD_BYTES = 12;

    /** An upper bound for the total size of a machine's name, type name and zone name. */
    private static final int MAX_NAMES_BYTES = 385;

    /** The maximum encoded size of a job id, including its header. */
    private static final int MAX_JOB_ID_BYTES = 22;

    private BindingsRecord() {}

    /** A bound task and the number of the attempt to run it. */
    public record BoundTask(TaskId task, long attempt) {}

    /** A machine and the tasks bound to it. */
    public record MachineBindings(String name, MachineKind kind, ImmutableList<BoundTask> tasks) {}

    /** The maximum number of bindings of one machine in a page that fits a value of {@code valueKb} kilobytes. */
    public static int maxBindingsPerMachine(double valueKb) {
        int machineBytes = MAX_NAMES_BYTES + MACHINE_OVERHEAD_BYTES + 2 * KIND_OVERHEAD_BYTES;
        return Math.max(
                1, (PackedValue.capacity(valueKb) - machineBytes) / (BINDING_OVERHEAD_BYTES + MAX_JOB_ID_BYTES));
    }

    /** The maximum size in bytes of a page with these machines and all their current bindings. */
    public static int maxPageBytes(Collection<Machine> machines) {
        Set<MachineKind> kinds = new HashSet<>();
        int totalBytes = 5;
        for (Machine machine : machines) {
            if (kinds.add(machine.kind())) {
                totalBytes += KIND_OVERHEAD_BYTES
                        + machine.type().length()
                        + machine.zone().length();
            }
            totalBytes += MACHINE_OVERHEAD_BYTES + 1 + machine.name().length();
            String job = "";
            for (Binding binding : machine.bindings()) {
                // Consecutive bindings of one job share the encoded job id. Omitting bindings never enlarges the page.
                totalBytes += 1 + maxNumberBytes(binding.task().index()) + maxNumberBytes(binding.attempt());
                totalBytes += binding.task().job().equals(job)
                        ? 0
                        : binding.task().job().length();
                job = binding.task().job();
            }
        }
        return totalBytes;
    }

    /** Returns a page with those bindings of the machines for which {@code recorded} is true. */
    public static ObjectNode write(String transactionId, Collection<Machine> machines, Predicate<Binding> recorded) {
        ImmutableListMultimap.Builder<MachineKind, MachineBindings> byKind = ImmutableListMultimap.builder();
        for (Machine machine : machines) {
            ImmutableList.Builder<BoundTask> recordedTasks = ImmutableList.builder();
            for (Binding binding : machine.bindings()) {
                if (recorded.test(binding)) {
                    recordedTasks.add(new BoundTask(binding.task(), binding.attempt()));
                }
            }
            ImmutableList<BoundTask> bound = recordedTasks.build();
            if (!bound.isEmpty()) {
                byKind.put(machine.kind(), new MachineBindings(machine.name(), machine.kind(), bound));
            }
        }
        ImmutableListMultimap<MachineKind, MachineBindings> groups = byKind.build();
        return PackedValue.write(transactionId, out -> {
            out.packArrayHeader(groups.keySet().size());
            for (MachineKind kind : groups.keySet()) {
                out.packArrayHeader(4);
                out.packString(kind.type());
                out.packString(kind.zone());
                out.packBoolean(kind.spot());
                out.packArrayHeader(groups.get(kind).size());
                for (MachineBindings machine : groups.get(kind)) {
                    writeMachine(out, machine);
                }
            }
        });
    }

    /** The maximum size in bytes of a non-negative number in MessagePack. */
    private static int maxNumberBytes(long number) {
        return number < 1 << 7 ? 1 : number < 1 << 16 ? 3 : number < 1L << 32 ? 5 : 9;
    }

    private static void writeMachine(MessageBufferPacker out, MachineBindings machine) throws IOException {
        out.packString(machine.name);
        out.packArrayHeader(machine.tasks.size());
        String job = "";
        for (BoundTask task : machine.tasks) {
            if (task.task.job().equals(job)) {
                out.packNil(); // stands for the job id of the previous binding
            } else {
                out.packString(task.task.job());
                job = task.task.job();
            }
            out.packInt(task.task.index());
            out.packLong(task.attempt);
        }
    }

    /** Reads a page; a {@link BadMessageException} means that it is malformed. */
    public static List<MachineBindings> read(JsonNode value) throws BadMessageException {
        return PackedValue.read(value, in -> {
            List<MachineBindings> machines = new ArrayList<>();
            int kinds = in.unpackArrayHeader();
            for (int i = 0; i < kinds; i++) {
                in.unpackArrayHeader();
                MachineKind kind = new MachineKind(in.unpackString(), in.unpackString(), in.unpackBoolean());
                int count = in.unpackArrayHeader();
                for (int j = 0; j < count; j++) {
                    machines.add(readMachine(in, kind));
                }
            }
            return machines;
        });
    }

    private static MachineBindings readMachine(MessageUnpacker in, MachineKind kind) throws IOException {
        String name = in.unpackString();
        ImmutableList.Builder<BoundTask> bound = ImmutableList.builder();
        int count = in.unpackArrayHeader();
        String job = "";
        for (int i = 0; i < count; i++) {
            job = in.tryUnpackNil() ? job : in.unpackString();
            bound.add(new BoundTask(new TaskId(job, in.unpackInt()), in.unpackLong()));
        }
        return new MachineBindings(name, kind, bound.build());
    }
}
