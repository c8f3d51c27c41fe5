package org.spruceridge.schedule;

import com.google.common.collect.ImmutableList;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;
import org.spruceridge.config.Policy.Weights;

/**
 * The Job-Machine matrix: the weighted sum of all terms for each candidate and each machine that can run the candidate.
 * Machines that have the same score for every candidate share a group. Therefore the size of the matrix grows with the
 * number of groups and not with the number of machines.
 */
public final class PriorityMatrix {
    private final RemainingTimeEstimator estimator;
    private final ImmutableList<Term> jobTerms;
    private final ImmutableList<Term> machineTerms;

    private record Term(Heuristic heuristic, double weight) {}

    /** One entry of the matrix: the score of a candidate on the machines of a group, and the candidate's urgency. */
    public record Entry(Candidate candidate, MachineGroup group, double score, double urgency) {}

    /** {@code targetStartDelayS} is the time within which each job should start, in seconds after its submission. */
    public PriorityMatrix(Weights weights, RemainingTimeEstimator estimator, double targetStartDelayS) {
        this.estimator = estimator;
        ImmutableList<Term> terms = ImmutableList.of(
                new Term(new Deadline(), weights.deadline()),
                new Term(new OverheadMinimization(), weights.overhead()),
                new Term(new WaitMinimization(), weights.waiting()),
                new Term(new AntiAging(), weights.aging()),
                new Term(new StarvationPrevention(targetStartDelayS), weights.starvation()),
                new Term(new ServiceAvailability(estimator.minRemainingTimeS()), weights.availability()),
                new Term(new MachinePrice(), weights.spotPreference()),
                new Term(new BinPacking(), weights.packing()));
        this.jobTerms = select(terms, false);
        this.machineTerms = select(terms, true);
    }

    private static ImmutableList<Term> select(ImmutableList<Term> terms, boolean dependingOnMachine) {
        return terms.stream()
                .filter(term -> term.heuristic.dependsOnMachine() == dependingOnMachine)
                .collect(ImmutableList.toImmutableList());
    }

    /**
     * Returns, for each candidate, the entries of all groups that currently have room for the candidate. The best entry
     * of each candidate is included even if its group has no room. {@code eligible} is the Minimal requirements
     * heuristic, which excludes groups before scoring.
     */
    public List<Entry> entries(
            ImmutableList<Candidate> candidates,
            ImmutableList<MachineGroup> groups,
            BiPredicate<Candidate, MachineGroup> isEligible,
            BiPredicate<Candidate, MachineGroup> hasRoom) {
        List<List<MachineGroup>> eligibleGroups = new ArrayList<>(candidates.size());
        double longestRemainingS = 0;
        for (Candidate candidate : candidates) {
            List<MachineGroup> rowGroups =
                    groups.stream().filter(g -> isEligible.test(candidate, g)).toList();
            eligibleGroups.add(rowGroups);
            longestRemainingS = Math.max(longestRemainingS, rowGroups.isEmpty() ? 0 : estimator.remainingS(candidate));
        }
        List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < candidates.size(); i++) {
            addRow(entries, candidates.get(i), eligibleGroups.get(i), longestRemainingS, hasRoom);
        }
        return entries;
    }

    private void addRow(
            List<Entry> entries,
            Candidate candidate,
            List<MachineGroup> groups,
            double longestRemainingS,
            BiPredicate<Candidate, MachineGroup> hasRoom) {
        double remainingS = estimator.remainingS(candidate);
        // Equation 7 is the mean urgency over the machines of the row. The remaining time is the same on all machines,
        // and therefore the urgency is the same too.
        Heuristic.Row row =
                new Heuristic.Row(candidate, Deadline.urgency(candidate.slackS(), remainingS), longestRemainingS);
        Entry best = null;
        boolean bestHasRoom = false;
        double jobScore = groups.isEmpty() ? 0 : weightedSum(jobTerms, row, groups.get(0), remainingS);
        for (MachineGroup group : groups) {
            double score = jobScore + weightedSum(machineTerms, row, group, remainingS);
            boolean groupHasRoom = hasRoom.test(candidate, group);
            boolean isBest = best == null || score > best.score;
            if (!groupHasRoom && !isBest) {
                continue;
            }
            Entry entry = new Entry(candidate, group, score, row.urgency());
            if (groupHasRoom) {
                entries.add(entry);
            }
            if (isBest) {
                best = entry;
                bestHasRoom = groupHasRoom;
            }
        }
        if (best != null && !bestHasRoom) {
            entries.add(best);
        }
    }

    private static double weightedSum(
            ImmutableList<Term> terms, Heuristic.Row row, MachineGroup group, double remainingS) {
        double sum = 0;
        for (Term term : terms) {
            sum += term.weight * term.heuristic.value(row, group, remainingS);
        }
        return sum;
    }
}
