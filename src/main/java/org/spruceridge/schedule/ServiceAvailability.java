package org.spruceridge.schedule;

/**
 * The service availability term, an addition to the paper: the urgency of a service that lacks replicas. The paper
 * covers jobs that end, and derives their urgency from a deadline. A service has no deadline, and every second without
 * a replica is lost service time. The term is 0 for jobs that are not services. For a service the term is at least 0.5.
 * It grows along the curve of equation 13 with the time for which a replica has been missing.
 *
 * @param halfGrowthS the time after which a missing replica has caused half of the growth, in seconds
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
