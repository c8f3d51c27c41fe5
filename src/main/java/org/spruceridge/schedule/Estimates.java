package org.spruceridge.schedule;

/** Remaining times: the owner's estimate less the time run, with a floor. */
public record Estimates(double floorS) {
    /** The remaining time of a candidate, in seconds; the same on every machine, as nobody rates their speed. */
    public double remainingS(Candidate candidate) {
        return Math.max(floorS, candidate.job().spec().estimateS() - candidate.elapsedS());
    }
}
