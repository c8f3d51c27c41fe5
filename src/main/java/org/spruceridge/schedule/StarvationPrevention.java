package org.spruceridge.schedule;

/**
 * The starvation prevention term, an addition to the paper. The Anti-aging term (equation 13) is bounded, so a job can
 * lose to a steady stream of short or urgent jobs indefinitely. This term eventually puts a job first if none of its
 * tasks has started, and, at a greater age, a job that has started. It is 0 for all younger jobs.
 *
 * @param targetStartDelayS the time within which every job should start, in seconds after its submission
 */
public record StarvationPrevention(double targetStartDelayS) implements Heuristic {
    /** The ages, relative to the target start delay, between which the term grows for a job that has not started. */
    private static final double GROWTH_START_RATIO = 0.5;

    private static final double GROWTH_END_RATIO = 0.75;
    /** The same for a job that has started. */
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
