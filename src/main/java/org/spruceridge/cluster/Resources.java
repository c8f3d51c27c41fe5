package org.spruceridge.cluster;

import com.google.common.math.LongMath;
import java.math.BigDecimal;
import java.math.RoundingMode;
import java.util.stream.Stream;

/**
 * CPUs, GPUs and memory: the capacity of a machine, the request of a task, or a sum of requests.
 *
 * <p>Amounts are counted in whole units of 1e-12, so that sums and comparisons of decimal numbers are exact: a request
 * that fits exactly fits, and one that exceeds the capacity by a single unit does not. Further digits are cut off. An
 * amount can therefore be too small by less than a unit; for a thousand tasks on a machine that is less than 1e-9, the
 * rounding error that a worker must expect of its own sums. Amounts above 9.2 million count as 9.2 million.
 */
public final class Resources {
    /** No capacity at all. */
    public static final Resources NONE = new Resources(0L, 0L, 0L);

    private static final int DECIMAL_PLACES = 12;
    private static final double UNITS_PER_ONE = 1e12;
    /** An unlimited amount, which stays unlimited whatever is subtracted. */
    private static final long UNLIMITED = Long.MAX_VALUE;

    private final long cpuUnits;
    private final long gpuUnits;
    private final long memUnits;

    /** Creates an amount of CPUs, GPUs and gigabytes of memory. */
    public Resources(double cpus, double gpus, double memGb) {
        this(units(cpus), units(gpus), units(memGb));
    }

    private Resources(long cpuUnits, long gpuUnits, long memUnits) {
        this.cpuUnits = cpuUnits;
        this.gpuUnits = gpuUnits;
        this.memUnits = memUnits;
    }

    /** Returns the limit of a team, of which a limit of 0 CPUs or GPUs means unlimited. Memory is unlimited. */
    public static Resources teamLimit(double cpusMax, double gpusMax) {
        return new Resources(
                cpusMax > 0 ? units(cpusMax) : UNLIMITED, gpusMax > 0 ? units(gpusMax) : UNLIMITED, UNLIMITED);
    }

    /** A positive amount counts as one unit at least. The shortest decimal form of a double is what the user wrote. */
    private static long units(double amount) {
        if (amount >= UNLIMITED / UNITS_PER_ONE) {
            return UNLIMITED;
        }
        long units = BigDecimal.valueOf(amount)
                .movePointRight(DECIMAL_PLACES)
                .setScale(0, RoundingMode.FLOOR)
                .longValueExact();
        return amount > 0 ? Math.max(1, units) : units;
    }

    /** The number of CPUs. */
    public double cpus() {
        return cpuUnits / UNITS_PER_ONE;
    }

    /** The number of GPUs. */
    public double gpus() {
        return gpuUnits / UNITS_PER_ONE;
    }

    /** The gigabytes of memory. */
    public double memGb() {
        return memUnits / UNITS_PER_ONE;
    }

    /** Returns the sum for each resource. */
    public Resources plus(Resources other) {
        return new Resources(
                LongMath.saturatedAdd(cpuUnits, other.cpuUnits),
                LongMath.saturatedAdd(gpuUnits, other.gpuUnits),
                LongMath.saturatedAdd(memUnits, other.memUnits));
    }

    /** Returns the difference for each resource, which can be negative. */
    public Resources minus(Resources other) {
        return new Resources(
                difference(cpuUnits, other.cpuUnits),
                difference(gpuUnits, other.gpuUnits),
                difference(memUnits, other.memUnits));
    }

    private static long difference(long units, long otherUnits) {
        return units == UNLIMITED ? UNLIMITED : LongMath.saturatedSubtract(units, otherUnits);
    }

    /** True if a task that requests these resources fits into the given capacity. */
    public boolean fitsIn(Resources capacity) {
        return cpuUnits <= capacity.cpuUnits && gpuUnits <= capacity.gpuUnits && memUnits <= capacity.memUnits;
    }

    /** Like {@link #fitsIn} for the sum of both amounts, but does not require the allocation of an object for it. */
    public boolean fitsInSum(Resources free, Resources freed) {
        return cpuUnits <= LongMath.saturatedAdd(free.cpuUnits, freed.cpuUnits)
                && gpuUnits <= LongMath.saturatedAdd(free.gpuUnits, freed.gpuUnits)
                && memUnits <= LongMath.saturatedAdd(free.memUnits, freed.memUnits);
    }

    /** Returns the total request of {@code count} tasks that request these resources each. */
    public Resources times(int count) {
        return new Resources(
                LongMath.saturatedMultiply(cpuUnits, count),
                LongMath.saturatedMultiply(gpuUnits, count),
                LongMath.saturatedMultiply(memUnits, count));
    }

    /** Returns the minimum for each resource. */
    public Resources min(Resources other) {
        return new Resources(
                Math.min(cpuUnits, other.cpuUnits),
                Math.min(gpuUnits, other.gpuUnits),
                Math.min(memUnits, other.memUnits));
    }

    /** Returns the minimum of all amounts for each resource; {@link #NONE} if the stream is empty. */
    public static Resources minOf(Stream<Resources> amounts) {
        return amounts.reduce(Resources::min).orElse(NONE);
    }

    /** Returns the number of tasks with the given request that fit into this capacity; 0 if none fits. */
    public int countFittingTasks(Resources task) {
        long count = Math.min(
                countFitting(cpuUnits, task.cpuUnits),
                Math.min(countFitting(gpuUnits, task.gpuUnits), countFitting(memUnits, task.memUnits)));
        return (int) Math.min(Integer.MAX_VALUE, count);
    }

    private static long countFitting(long capacityUnits, long taskUnits) {
        return taskUnits > 0 && capacityUnits < UNLIMITED ? Math.max(0, capacityUnits) / taskUnits : Integer.MAX_VALUE;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Resources resources
                && cpuUnits == resources.cpuUnits
                && gpuUnits == resources.gpuUnits
                && memUnits == resources.memUnits;
    }

    @Override
    public int hashCode() {
        return 31 * (31 * Long.hashCode(cpuUnits) + Long.hashCode(gpuUnits)) + Long.hashCode(memUnits);
    }

    @Override
    public String toString() {
        return "Resources[cpus=" + cpus() + ", gpus=" + gpus() + ", memGb=" + memGb() + "]";
    }
}
