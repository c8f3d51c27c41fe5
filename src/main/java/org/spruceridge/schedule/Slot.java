package org.spruceridge.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.cluster.Room;

/** One machine in the working copy of a round. */
final class Slot {
    private static final double SLACK = 1e-6;

    private final Machine machine;
    private final MachineType type;
    private Room free;
    private int count;
    private boolean held;
    private List<Leaving> leaving;

    /** A running task and the time that it will still take. */
    private record Leaving(double inS, Room room) {}

    Slot(Machine machine, MachineType type) {
        this.machine = machine;
        this.type = type;
        this.free = type.room().minus(machine.used());
        this.count = machine.bindings().size();
    }

    Machine machine() {
        return machine;
    }

    MachineType type() {
        return type;
    }

    Room free() {
        return free;
    }

    int count() {
        return count;
    }

    /** The share of its CPUs that is taken, without the last places that sums of decimal numbers leave. */
    double fullness() {
        return Math.rint((1 - free.cpus() / type.room().cpus()) / SLACK) * SLACK;
    }

    /** True if its machine is not barred for the job by failures of its tasks. */
    boolean suits(Job job) {
        return job.doubted() || !job.faultyOn().contains(machine.name());
    }

    boolean fits(Room task) {
        return task.fitsIn(free);
    }

    void take(Room task) {
        free = free.minus(task);
        count++;
    }

    boolean held() {
        return held;
    }

    /** Keeps what is free, up to the room of one task, from the rows that follow. */
    void hold(Room task) {
        held = true;
        free = free.minus(free.least(task));
    }

    /** Seconds until the tasks on the machine will have left enough room; infinite if they never do. */
    double roomInS(Room task, ToDoubleFunction<Binding> remainingS) {
        if (leaving == null) {
            leaving = new ArrayList<>();
            for (Binding b : machine.bindings()) {
                if (!b.gone()) {
                    leaving.add(new Leaving(
                            remainingS.applyAsDouble(b), b.job().spec().task()));
                }
            }
            leaving.sort(Comparator.comparingDouble(Leaving::inS));
        }
        Room room = free;
        for (Leaving next : leaving) {
            room = room.plus(next.room);
            if (task.fitsIn(room)) {
                return next.inS;
            }
        }
        return Double.POSITIVE_INFINITY;
    }
}
