package org.spruceridge.schedule;

/**
 * Estimates remaining run times: the job owner's estimate minus the elapsed run time, with a lower bound.
 *
 * @param minRemainingTimeS the lower bound, in seconds
 */
public record RemainingTimeEstimator(double minRemainingTimeS) {
    /**
     * The remaining time of a candidate, in seconds. It is the same on every machine, as machines have no speed rating.
     */
    public double remainingS(Candidate candidate) {
        return remainingS(candidate.job().spec().estimateS(), candidate.elapsedS());
    }

    /** The remaining time of a task, given its owner's estimate and its elapsed run time, all in seconds. */
    public double remainingS(double estimateS, double elapsedS) {
        return Math.max(minRemainingTimeS, estimateS - elapsedS);
    }
}
