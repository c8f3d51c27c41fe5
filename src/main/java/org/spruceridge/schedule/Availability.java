package org.spruceridge.schedule;

/**
 * Ours: the urgency of a service of which replicas are missing. The document's jobs end, and their urgency follows from a
 * deadline; a service has none, and each second without a replica is lost. The term is 0 for all other jobs, at least a
 * half for a service, and grows with the time that the replica has been missing, in the shape of equation 13.
 *
 * @param halfS the time after which half of the growth is reached
 */
public record Availability(double halfS) implements Heuristic {
    private static final double LEAST = 0.5;

    @Override
    public double value(Row row, MachineGroup group, double remainingS) {
        if (!row.candidate().job().spec().isService()) {
            return 0;
        }
        double missingS = Math.max(0, row.candidate().ageS());
        return LEAST + (1 - LEAST) * missingS / (missingS + halfS);
    }
}
