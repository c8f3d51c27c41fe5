package org.spruceridge.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.spruceridge.cluster.Resources;

/**
 * Reservations for well-scored tasks that fit nowhere now, on the machines that will have room for them soonest. Without
 * them each piece of capacity that becomes free would go to a smaller task, and large tasks would never run.
 */
final class Reservations {
    private final CycleState state;
    private final Estimates estimates;
    private final int most;
    private int made;

    /** A machine that will have room after some time. */
    private record FutureFit(MachineCapacity capacity, double inSeconds) {}

    /** {@code share} is the part of all machines on which capacity may be reserved. */
    Reservations(CycleState state, Estimates estimates, double share) {
        this.state = state;
        this.estimates = estimates;
        this.most = (int) Math.ceil(state.machines().size() * share);
    }

    /** Reserves for those tasks of a job that the walk will not place, before it places the others. */
    void reserveFor(WaitingJob waiting) {
        int admitted = state.teamAdmits(waiting.job().spec());
        if (admitted == 0) {
            reserveTeamLimit(waiting);
            return;
        }
        if (made >= most) {
            return;
        }
        int wanted = Math.min(waiting.remaining(), admitted);
        List<FutureFit> future = new ArrayList<>();
        Resources task = waiting.job().spec().task();
        for (MachineCapacity capacity : state.machines()) {
            if (!state.eligible(waiting, capacity)) {
                continue;
            }
            if (capacity.fits(task)) {
                wanted -= capacity.free().holds(task);
                if (wanted <= 0) {
                    return;
                }
            } else if (!capacity.reserved()) {
                double inSeconds = capacity.secondsUntilFit(task, estimates, state.now());
                if (inSeconds < Double.POSITIVE_INFINITY) {
                    future.add(new FutureFit(capacity, inSeconds));
                }
            }
        }
        reserveSoonest(future, task, wanted);
    }

    private void reserveSoonest(List<FutureFit> future, Resources task, int wanted) {
        future.sort(Comparator.comparingDouble(FutureFit::inSeconds));
        int count = Math.min(future.size(), Math.min(wanted, most - made));
        for (FutureFit fit : future.subList(0, count)) {
            fit.capacity.reserve(task);
        }
        made += count;
    }

    /**
     * Where the team's limit alone keeps a job back, what is left of the limit is reserved like capacity on a machine:
     * else each piece that becomes free goes to a smaller task of the team, and a large one never begins.
     */
    private void reserveTeamLimit(WaitingJob waiting) {
        String team = waiting.job().spec().team();
        if (most == 0 || state.teamReserved(team)) {
            return;
        }
        Resources task = waiting.job().spec().task();
        for (MachineCapacity capacity : state.machines()) {
            if (capacity.fits(task) && state.eligible(waiting, capacity)) {
                state.reserveTeam(team);
                return;
            }
        }
    }
}
