package org.spruceridge.schedule;

/**
 * Not of the paper: the urgency of a service of which replicas are missing. The paper's jobs end, and their urgency
 * follows from a
 * deadline; a service has none, and each second without a replica is lost. The term is 0 for all other jobs, at least a
 * half for a service, and grows with the time that the replica has been missing, in the shape of equation 13.
 *
 * @param halfGrowthS the time after which half of the growth is reached
 */
public record ServiceAvailability(double halfGrowthS) implements Heuristic {
    private static final double MIN_SERVICE_VALUE = 0.5;

    @Override
    public double value(Row row, MachineGroup group, double remainingS) {
        if (!row.candidate().job().spec().isService()) {
            return 0;
        }
        double missingS = Math.max(0, row.candidate().ageS());
        return MIN_SERVICE_VALUE + (1 - MIN_SERVICE_VALUE) * missingS / (missingS + halfGrowthS);
    }
}
