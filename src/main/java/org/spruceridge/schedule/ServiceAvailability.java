package org.spruceridge.schedule;

/**
 * The service availability term, an addition to the paper: the urgency of a service that lacks replicas. The paper
 * covers jobs that end, and derives their urgency from a deadline. A service has no deadline, and every second without
 * a replica is lost service time. The term is 0 for all other jobs. For a service it is at least 0.5 and grows with the
 * time that the replica has been missing, along the curve of equation 13.
 *
 * @param halfGrowthS the missing time after which half of the growth is reached, in seconds
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
