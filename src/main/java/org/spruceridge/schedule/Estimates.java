package org.spruceridge.schedule;

/** Remaining times: the owner's estimate less the time run, with a floor. */
public record Estimates(double floorS) {
    /** The remaining time of a candidate, in seconds; the same on every machine, as nobody rates their speed. */
    public double remainingS(Candidate candidate) {
        return remainingS(candidate.job().spec().estimateS(), candidate.elapsedS());
    }

    /** The remaining time of a task, from its owner's estimate and the time that it has run, all in seconds. */
    public double remainingS(double estimateS, double elapsedS) {
        return Math.max(floorS, estimateS - elapsedS);
    }
}
