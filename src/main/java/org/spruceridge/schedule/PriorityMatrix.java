package org.spruceridge.schedule;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;
import java.util.function.ToDoubleFunction;
import org.spruceridge.cluster.Machine;
import org.spruceridge.config.Policy.Weights;

/** The Job-Machine matrix: the weighted sum of all terms for each candidate on each machine that can run it. */
public final class PriorityMatrix {
    private final Estimates estimates;
    private final ImmutableMap<Heuristic, Double> terms;

    /** One entry of the matrix. */
    public record Entry(Candidate candidate, Machine machine, double score, double urgency) {}

    public PriorityMatrix(Weights weights, Estimates estimates) {
        this.estimates = estimates;
        this.terms = ImmutableMap.of(
                new Deadline(), weights.deadline(),
                new Overhead(), weights.overhead(),
                new Wait(), weights.waiting(),
                new Aging(), weights.aging(),
                new Thrift(), weights.thrift(),
                new Packing(), weights.packing());
    }

    /** All entries; {@code eligible} is the Minimal requirements heuristic, a filter before any score. */
    public List<Entry> entries(
            ImmutableList<Candidate> candidates,
            ImmutableList<Machine> machines,
            BiPredicate<Candidate, Machine> eligible,
            ToDoubleFunction<Machine> prices,
            ToDoubleFunction<Machine> fullness) {
        double dearest = machines.stream().mapToDouble(prices).max().orElse(0);
        ToDoubleFunction<Machine> shares = m -> dearest > 0 ? prices.applyAsDouble(m) / dearest : 1;
        double longestS = 0;
        List<List<Machine>> rows = new ArrayList<>();
        for (Candidate c : candidates) {
            List<Machine> row = new ArrayList<>();
            for (Machine m : machines) {
                if (eligible.test(c, m)) {
                    row.add(m);
                    longestS = Math.max(longestS, estimates.remainingS(c, m));
                }
            }
            rows.add(row);
        }
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < candidates.size(); i++) {
            score(candidates.get(i), rows.get(i), longestS, shares, fullness, entries);
        }
        return entries;
    }

    private void score(
            Candidate c,
            List<Machine> row,
            double longestS,
            ToDoubleFunction<Machine> prices,
            ToDoubleFunction<Machine> fullness,
            List<Entry> entries) {
        double urgency = 0;
        for (Machine m : row) {
            urgency += Deadline.urgency(c.slackS(), estimates.remainingS(c, m));
        }
        Heuristic.Row shared =
                new Heuristic.Row(c, row.isEmpty() ? 0 : urgency / row.size(), longestS, prices, fullness);
        for (Machine m : row) {
            double remainingS = estimates.remainingS(c, m);
            double sum = 0;
            for (var term : terms.entrySet()) {
                sum += term.getValue() * term.getKey().value(shared, m, remainingS);
            }
            entries.add(new Entry(c, m, sum, shared.urgency()));
        }
    }
}
