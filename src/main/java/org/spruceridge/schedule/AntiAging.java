package org.spruceridge.schedule;

/** The Anti-aging term (equation 13) grows with the age of the candidate. */
public final class AntiAging implements Heuristic {
    @Override
    public double value(Row row, MachineGroup group, double remainingS) {
        double ageS = Math.max(0, row.candidate().ageS());
        return ageS / (ageS + remainingS);
    }
}
