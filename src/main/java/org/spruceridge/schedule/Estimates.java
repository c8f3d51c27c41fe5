package org.spruceridge.schedule;

import org.spruceridge.cluster.Machine;

/** Remaining times: the owner's estimate less the time run, with a floor. */
public record Estimates(double floorS) {
    /** The remaining time of a candidate on a machine, in seconds. */
    public double remainingS(Candidate candidate, Machine machine) {
        return Math.max(floorS, candidate.job().spec().estimateS() - candidate.elapsedS());
    }
}
