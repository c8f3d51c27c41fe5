package org.spruceridge.cluster;

import java.util.stream.Stream;

/** CPUs, GPUs and memory, as an amount that a machine has or a task takes. */
public record Resources(double cpus, double gpus, double memGb) {
    public static final Resources NONE = new Resources(0, 0, 0);
    /** Amounts are decimal numbers; sums of them may be off in the last places. */
    private static final double SLACK = 1e-6;

    /** The sum, by each resource. */
    public Resources plus(Resources other) {
        return new Resources(cpus + other.cpus, gpus + other.gpus, memGb + other.memGb);
    }

    /** The difference, by each resource. */
    public Resources minus(Resources other) {
        return new Resources(cpus - other.cpus, gpus - other.gpus, memGb - other.memGb);
    }

    /** True if a task of this size goes into that room. */
    public boolean fitsIn(Resources room) {
        return fitsIn(room.cpus, room.gpus, room.memGb);
    }

    /** The same, for amounts that are summed up without an object for each sum. */
    public boolean fitsIn(double roomCpus, double roomGpus, double roomMemGb) {
        return cpus <= roomCpus + SLACK && gpus <= roomGpus + SLACK && memGb <= roomMemGb + SLACK;
    }

    /** What so many tasks of this size take together. */
    public Resources times(int count) {
        return new Resources(cpus * count, gpus * count, memGb * count);
    }

    /** The smaller of two amounts, each for itself. */
    public Resources least(Resources other) {
        return new Resources(Math.min(cpus, other.cpus), Math.min(gpus, other.gpus), Math.min(memGb, other.memGb));
    }

    /** The least of each resource among several amounts; none if there are none. */
    public static Resources leastOf(Stream<Resources> amounts) {
        return amounts.reduce(Resources::least).orElse(NONE);
    }

    /** How many tasks of the given size go in. */
    public int holds(Resources task) {
        double n = Integer.MAX_VALUE;
        n = task.cpus > 0 ? Math.min(n, (cpus + SLACK) / task.cpus) : n;
        n = task.gpus > 0 ? Math.min(n, (gpus + SLACK) / task.gpus) : n;
        n = task.memGb > 0 ? Math.min(n, (memGb + SLACK) / task.memGb) : n;
        return (int) Math.max(0, Math.floor(n));
    }
}
