package org.spruceridge.cluster;

import java.util.stream.Stream;

/** CPUs, GPUs and memory: the capacity of a machine, or the request of a task. */
public record Resources(double cpus, double gpus, double memGb) {
    /** No capacity at all. */
    public static final Resources NONE = new Resources(0, 0, 0);
    /** The excess over the capacity at which a request still fits. It absorbs accumulated rounding errors. */
    private static final double ROUNDING_TOLERANCE = 1e-6;

    /** Returns the sum for each resource. */
    public Resources plus(Resources other) {
        return new Resources(cpus + other.cpus, gpus + other.gpus, memGb + other.memGb);
    }

    /** Returns the difference for each resource, which can be negative. */
    public Resources minus(Resources other) {
        return new Resources(cpus - other.cpus, gpus - other.gpus, memGb - other.memGb);
    }

    /** True if a task that requests these resources fits into the given capacity. */
    public boolean fitsIn(Resources capacity) {
        return fitsIn(capacity.cpus, capacity.gpus, capacity.memGb);
    }

    /** Like {@link #fitsIn(Resources)}, but does not require the allocation of an object for the capacity. */
    public boolean fitsIn(double freeCpus, double freeGpus, double freeMemGb) {
        return cpus <= freeCpus + ROUNDING_TOLERANCE
                && gpus <= freeGpus + ROUNDING_TOLERANCE
                && memGb <= freeMemGb + ROUNDING_TOLERANCE;
    }

    /** Returns the total request of {@code count} tasks that request these resources each. */
    public Resources times(int count) {
        return new Resources(cpus * count, gpus * count, memGb * count);
    }

    /** Returns the minimum for each resource. */
    public Resources min(Resources other) {
        return new Resources(Math.min(cpus, other.cpus), Math.min(gpus, other.gpus), Math.min(memGb, other.memGb));
    }

    /** Returns the minimum of all amounts for each resource; {@link #NONE} if the stream is empty. */
    public static Resources minOf(Stream<Resources> amounts) {
        return amounts.reduce(Resources::min).orElse(NONE);
    }

    /** Returns the number of tasks with the given request that fit into this capacity; 0 if none fits. */
    public int countFittingTasks(Resources task) {
        double count = Integer.MAX_VALUE;
        count = task.cpus > 0 ? Math.min(count, (cpus + ROUNDING_TOLERANCE) / task.cpus) : count;
        count = task.gpus > 0 ? Math.min(count, (gpus + ROUNDING_TOLERANCE) / task.gpus) : count;
        count = task.memGb > 0 ? Math.min(count, (memGb + ROUNDING_TOLERANCE) / task.memGb) : count;
        return (int) Math.max(0, Math.floor(count));
    }
}
