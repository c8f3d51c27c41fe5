package org.spruceridge.schedule;

/**
 * Ours, beside the Anti-aging term, which is bounded and loses to a lasting stream of short or urgent work: a job that
 * has waited long without any of its tasks begun comes first in the end, and so does, later, one that has begun. It is 0
 * for everything younger.
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
