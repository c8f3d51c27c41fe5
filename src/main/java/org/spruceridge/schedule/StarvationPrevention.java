package org.spruceridge.schedule;

/**
 * The starvation prevention term, an addition to the paper. The Anti-aging term (equation 13) is bounded. Therefore a
 * job can lose indefinitely to a steady stream of short or urgent jobs. The starvation prevention term eventually puts
 * a job first if none of its tasks has started. A job that has started also comes first eventually, but only at a
 * greater age. The term is 0 for all younger jobs.
 *
 * @param targetStartDelayS the time after its submission within which every job should start, in seconds
 */
public record StarvationPrevention(double targetStartDelayS) implements Heuristic {
    /** For a job that has not started, the term grows from 0 to 1 between these two ages, in target start delays. */
    private static final double GROWTH_START_RATIO = 0.5;

    private static final double GROWTH_END_RATIO = 0.75;
    /** For a job that has started, the term grows from 0 to 1 between these two ages, in target start delays. */
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
