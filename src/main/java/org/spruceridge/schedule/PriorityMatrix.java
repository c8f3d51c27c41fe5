package org.spruceridge.schedule;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;
import org.spruceridge.config.Policy.Weights;

/**
 * The Job-Machine matrix: the weighted sum of all terms for each candidate on each machine that can run it. Machines
 * that score alike for every candidate share a column, so that its size follows what differs and not what is there.
 */
public final class PriorityMatrix {
    private final Estimates estimates;
    private final ImmutableList<Term> terms;

    private record Term(Heuristic heuristic, double weight) {}

    /** One entry of the matrix. */
    public record Entry(Candidate candidate, Column column, double score, double urgency) {}

    public PriorityMatrix(Weights weights, Estimates estimates, double beginWithinS) {
        this.estimates = estimates;
        this.terms = ImmutableList.of(
                new Term(new Deadline(), weights.deadline()),
                new Term(new Overhead(), weights.overhead()),
                new Term(new Wait(), weights.waiting()),
                new Term(new Aging(), weights.aging()),
                new Term(new Patience(beginWithinS), weights.patience()),
                new Term(new Thrift(), weights.thrift()),
                new Term(new Packing(), weights.packing()));
    }

    /** All entries; {@code eligible} is the Minimal requirements heuristic, a filter before any score. */
    public List<Entry> entries(
            ImmutableList<Candidate> candidates,
            ImmutableList<Column> columns,
            BiPredicate<Candidate, Column> eligible) {
        double longestS = 0;
        List<List<Column>> rows = new ArrayList<>();
        for (Candidate c : candidates) {
            List<Column> row = new ArrayList<>();
            for (Column column : columns) {
                if (eligible.test(c, column)) {
                    row.add(column);
                }
            }
            rows.add(row);
            longestS = Math.max(longestS, row.isEmpty() ? 0 : estimates.remainingS(c));
        }
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < candidates.size(); i++) {
            Candidate c = candidates.get(i);
            double remainingS = estimates.remainingS(c);
            // Equation 7 takes the mean over the machines of the row, on which the remaining time is the same.
            Heuristic.Row row = new Heuristic.Row(c, Deadline.urgency(c.slackS(), remainingS), longestS);
            for (Column column : rows.get(i)) {
                double sum = 0;
                for (Term term : terms) {
                    sum += term.weight * term.heuristic.value(row, column, remainingS);
                }
                entries.add(new Entry(c, column, sum, row.urgency()));
            }
        }
        return entries;
    }
}
