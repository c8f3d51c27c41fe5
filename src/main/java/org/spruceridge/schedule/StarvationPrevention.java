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
    private static final double FROM = 0.5;

    private static final double UNTIL = 0.75;
    /** The same for a job that has begun. */
    private static final double BEGUN_FROM = 1.5;

    private static final double BEGUN_UNTIL = 3;

    @Override
    public double value(Row row, MachineGroup group, double remainingS) {
        boolean begun = row.candidate().job().begun();
        double from = targetStartDelayS * (begun ? BEGUN_FROM : FROM);
        double until = targetStartDelayS * (begun ? BEGUN_UNTIL : UNTIL);
        return Math.max(0, Math.min(1, (row.candidate().ageS() - from) / (until - from)));
    }
}
