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

/** One page of bindings: the tasks bound to each of many machines, grouped by machine kind. */
public final class BindingsRecord {
    /** Array headers and numbers of a machine beside its name, and of one of its bindings beside the job's id. */
    private static final int MACHINE_BYTES = 5;

    /** A number of a task and an attempt, at most. */
    private static final int BOUND_BYTES = 5 + 9;

    private static final int KIND_BYTES = 12;
    /** Ample for the names of a machine, its type and its zone. */
    private static final int NAMES_BYTES = 385;

    /** The longest id of a job, with its header. */
    private static final int JOB_BYTES = 22;

    private BindingsRecord() {}

    /** One task and attempt. */
    public record BoundTask(TaskId task, long attempt) {}

    /** A machine and the tasks bound to it. */
    public record MachineBindings(String name, MachineKind kind, ImmutableList<BoundTask> bound) {}

    /** The most bindings of one machine that a page holds. */
    public static int maxBindingsPerMachine(double valueKb) {
        int own = NAMES_BYTES + MACHINE_BYTES + 2 * KIND_BYTES;
        return Math.max(1, (PackedValue.capacity(valueKb) - own) / (BOUND_BYTES + JOB_BYTES));
    }

    /** The most bytes that a page of these machines takes with all that is bound to them now. */
    public static int bytes(Collection<Machine> machines) {
        Set<MachineKind> kinds = new HashSet<>();
        int sum = 5;
        for (Machine machine : machines) {
            if (kinds.add(machine.kind())) {
                sum += KIND_BYTES + machine.type().length() + machine.zone().length();
            }
            sum += MACHINE_BYTES + 1 + machine.name().length();
            String job = "";
            for (Binding binding : machine.bindings()) {
                // Bindings of one job that follow each other share its id; leaving some out never takes more.
                sum += 1 + size(binding.task().index()) + size(binding.attempt());
                sum += binding.task().job().equals(job)
                        ? 0
                        : binding.task().job().length();
                job = binding.task().job();
            }
        }
        return sum;
    }

    /** A page with those bindings of the machines that belong on record. */
    public static ObjectNode write(String transactionId, Collection<Machine> machines, Predicate<Binding> recorded) {
        ImmutableListMultimap.Builder<MachineKind, MachineBindings> byKind = ImmutableListMultimap.builder();
        for (Machine machine : machines) {
            ImmutableList.Builder<BoundTask> list = ImmutableList.builder();
            for (Binding binding : machine.bindings()) {
                if (recorded.test(binding)) {
                    list.add(new BoundTask(binding.task(), binding.attempt()));
                }
            }
            ImmutableList<BoundTask> bound = list.build();
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

    /** What a number takes in MessagePack, at most. */
    private static int size(long number) {
        return number < 1 << 7 ? 1 : number < 1 << 16 ? 3 : number < 1L << 32 ? 5 : 9;
    }

    private static void writeMachine(MessageBufferPacker out, MachineBindings machine) throws IOException {
        out.packString(machine.name);
        out.packArrayHeader(machine.bound.size());
        String job = "";
        for (BoundTask task : machine.bound) {
            if (task.task.job().equals(job)) {
                out.packNil(); // the same as before
            } else {
                out.packString(task.task.job());
                job = task.task.job();
            }
            out.packInt(task.task.index());
            out.packLong(task.attempt);
        }
    }

    /** Reads a page. */
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
