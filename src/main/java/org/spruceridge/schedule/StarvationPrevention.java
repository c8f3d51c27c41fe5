package org.spruceridge.schedule;

/**
 * Not of the paper. The Anti-aging term (equation 13) is bounded and loses to a lasting stream of short or urgent work: with
 * this term a job none of whose tasks has started comes first in the end, and so does, later, one that has started. It is 0
 * for all younger jobs.
 *
 * @param targetStartDelayS the time within which every job should have begun
 */
public record StarvationPrevention(double targetStartDelayS) implements Heuristic {
    /** When it begins to count for a job that has not begun, and until when it grows, as shares of that time. */
    private static final double GROWTH_START_RATIO = 0.5;

    private static final double GROWTH_END_RATIO = 0.75;
    /** The same for a job that has begun. */
    private static final double STARTED_GROWTH_START_RATIO = 1.5;

    private static final double STARTED_GROWTH_END_RATIO = 3;

    @Override
    public double value(Row row, MachineGroup group, double remainingS) {
        boolean hasStarted = row.candidate().job().hasStarted();
        double startS = targetStartDelayS * (hasStarted ? STARTED_GROWTH_START_RATIO : GROWTH_START_RATIO);
        double endS = targetStartDelayS * (hasStarted ? STARTED_GROWTH_END_RATIO : GROWTH_END_RATIO);
        return Math.max(0, Math.min(1, (row.candidate().ageS() - startS) / (endS - startS)));
    }
}
