package org.spruceridge.schedule;

/** One term of the score: a value in [0, 1] for a candidate on the machines of a group. */
public interface Heuristic {
    /**
     * Returns the value of the term. {@code row} holds the inputs that do not depend on the machine. {@code remainingS}
     * is the candidate's remaining run time, in seconds.
     */
    double value(Row row, MachineGroup group, double remainingS);

    /**
     * Returns whether the value differs between machines. A value that is the same on all machines is computed once per
     * candidate instead of once per group.
     */
    default boolean dependsOnMachine() {
        return false;
    }

    /**
     * A candidate and the inputs that several terms share.
     *
     * @param urgency the mean of {@link Deadline#urgency} over all machines that can run the candidate (equation 7)
     * @param longestRemainingS the longest remaining run time of all candidates that some machine can run, in seconds
     *     (equation 12)
     */
    record Row(Candidate candidate, double urgency, double longestRemainingS) {}
}
