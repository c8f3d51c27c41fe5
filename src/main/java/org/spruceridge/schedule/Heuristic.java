package org.spruceridge.schedule;

/** One term of the score: a value in [0, 1] for a candidate on the machines of a group. */
public interface Heuristic {
    /**
     * The value of the term. {@code row} holds the inputs that do not depend on the machine; {@code remainingS} is the
     * candidate's remaining run time, in seconds.
     */
    double value(Row row, MachineGroup group, double remainingS);

    /** False if the value is the same on all machines; it is then computed once per candidate instead of per group. */
    default boolean dependsOnMachine() {
        return false;
    }

    /**
     * A candidate with the inputs that several terms share.
     *
     * @param urgency the mean of {@link Deadline#urgency} over all machines that can run the candidate (equation 7)
     * @param longestRemainingS the longest remaining time of all candidates, in seconds (equation 12)
     */
    record Row(Candidate candidate, double urgency, double longestRemainingS) {}
}
