package org.spruceridge.schedule;

/**
 * Estimates remaining run times: the job owner's estimate minus the elapsed run time, but at least a lower bound.
 *
 * @param minRemainingTimeS the lower bound, in seconds
 */
public record RemainingTimeEstimator(double minRemainingTimeS) {
    /**
     * Returns the remaining run time of a candidate, in seconds. The time is the same on every machine, because
     * machines have no speed rating.
     */
    public double remainingS(Candidate candidate) {
        return remainingS(candidate.job().spec().estimateS(), candidate.elapsedS());
    }

    /**
     * Returns the remaining run time of a task, in seconds. {@code estimateS} is the job owner's estimate of the whole
     * run time, and {@code elapsedS} is the run time so far, both in seconds.
     */
    public double remainingS(double estimateS, double elapsedS) {
        return Math.max(minRemainingTimeS, estimateS - elapsedS);
    }
}
