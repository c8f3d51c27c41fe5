package org.spruceridge.schedule;

import java.util.function.ToDoubleFunction;
import org.spruceridge.cluster.Machine;

/** One term of the sum: a value in [0, 1] for a candidate on a machine. */
public interface Heuristic {
    /** {@code row} holds what does not depend on the machine. */
    double value(Row row, Machine machine, double remainingS);

    /**
     * A candidate with the figures that its terms share.
     *
     * @param urgency the mean of {@link Deadline#urgency} over all machines that can run it (equation 7)
     * @param longestS the longest remaining time of all candidates (of equation 12)
     * @param prices what a machine costs, as a share of the dearest in the matrix
     * @param fullness the share of a machine's CPUs that is taken
     */
    record Row(
            Candidate candidate,
            double urgency,
            double longestS,
            ToDoubleFunction<Machine> prices,
            ToDoubleFunction<Machine> fullness) {}
}
