package org.spruceridge.schedule;

/** One term of the sum: a value in [0, 1] for a candidate on the machines of a group. */
public interface Heuristic {
    /** {@code row} holds what does not depend on the machine. */
    double value(Row row, MachineGroup group, double remainingS);

    /** False if the value is the same on all machines, so that it need not be worked out for each group. */
    default boolean dependsOnMachine() {
        return false;
    }

    /**
     * A candidate with the figures that its terms share.
     *
     * @param urgency the mean of {@link Deadline#urgency} over all machines that can run it (equation 7)
     * @param longestRemainingS the longest remaining time of all candidates (of equation 12)
     */
    record Row(Candidate candidate, double urgency, double longestRemainingS) {}
}
