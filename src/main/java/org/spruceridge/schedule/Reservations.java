package org.spruceridge.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.spruceridge.cluster.Resources;

/**
 * Reservations for well-scored tasks that fit nowhere now, on the machines that will have room for them soonest. Without
 * them each piece of capacity that becomes free would go to a smaller task, and large tasks would starve.
 */
final class Reservations {
    private final CycleState state;
    private final Estimates estimates;
    private final int max;
    private int reservationsMade;

    /** A machine that will have room after some time. */
    private record FutureFit(MachineCapacity capacity, double inS) {}

    /** {@code share} is the part of all machines on which capacity may be reserved. */
    Reservations(CycleState state, Estimates estimates, double share) {
        this.state = state;
        this.estimates = estimates;
        this.max = (int) Math.ceil(state.machines().size() * share);
    }

    /** Reserves for those tasks of a job that the walk will not place, before it places the others. */
    void reserveFor(WaitingJob waiting) {
        int admitted = state.quotas().admits(waiting.job().spec());
        if (admitted == 0) {
            reserveTeamQuota(waiting);
            return;
        }
        if (reservationsMade >= max) {
            return;
        }
        int wanted = Math.min(waiting.remaining(), admitted);
        List<FutureFit> futureFits = new ArrayList<>();
        Resources task = waiting.job().spec().task();
        for (MachineCapacity capacity : state.machines()) {
            if (!state.isEligible(waiting, capacity)) {
                continue;
            }
            if (capacity.fits(task)) {
                wanted -= capacity.free().holds(task);
                if (wanted <= 0) {
                    return;
                }
            } else if (!capacity.reserved()) {
                double inS = capacity.secondsUntilFit(task, estimates, state.now());
                if (inS < Double.POSITIVE_INFINITY) {
                    futureFits.add(new FutureFit(capacity, inS));
                }
            }
        }
        reserveSoonest(futureFits, task, wanted);
    }

    private void reserveSoonest(List<FutureFit> futureFits, Resources task, int wanted) {
        futureFits.sort(Comparator.comparingDouble(FutureFit::inS));
        int count = Math.min(futureFits.size(), Math.min(wanted, max - reservationsMade));
        for (FutureFit fit : futureFits.subList(0, count)) {
            fit.capacity.reserve(task);
        }
        reservationsMade += count;
    }

    /**
     * Where the team's quota alone holds a job back, what is left of the quota is reserved like capacity on a machine:
     * otherwise each piece that becomes free goes to a smaller task of the team, and a large one never starts.
     */
    private void reserveTeamQuota(WaitingJob waiting) {
        String team = waiting.job().spec().team();
        if (max == 0 || state.quotas().isReserved(team)) {
            return;
        }
        Resources task = waiting.job().spec().task();
        for (MachineCapacity capacity : state.machines()) {
            if (capacity.fits(task) && state.isEligible(waiting, capacity)) {
                state.quotas().reserve(team);
                return;
            }
        }
    }
}
