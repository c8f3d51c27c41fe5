package org.spruceridge.schedule;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.spruceridge.cluster.Resources;

/**
 * Reserves capacity for high-scoring tasks that currently fit on no machine. The capacity is reserved on the machines
 * that are expected to have room soonest. Without reservations, smaller tasks would take all capacity as it is freed,
 * and large tasks would starve.
 */
final class Reservations {
    private final CycleState state;
    private final RemainingTimeEstimator estimator;
    private final int maxReservations;
    private int reservationCount;

    /** A machine that has no room for a task yet, and the expected time until it has room, in seconds. */
    private record FutureFit(MachineCapacity capacity, double delayS) {}

    /** {@code maxMachineShare} is the largest share of the schedulable machines on which capacity can be reserved. */
    Reservations(CycleState state, RemainingTimeEstimator estimator, double maxMachineShare) {
        this.state = state;
        this.estimator = estimator;
        this.maxReservations = (int) Math.ceil(state.machines().size() * maxMachineShare);
    }

    /**
     * Reserves capacity or quota for those tasks of a job that this cycle cannot place. Called before the job's tasks
     * are placed.
     */
    void reserveFor(WaitingJob waiting) {
        int admissibleTasks = state.quotas().countAdmissibleTasks(waiting.job().spec());
        if (admissibleTasks == 0) {
            reserveTeamQuota(waiting);
            return;
        }
        if (reservationCount >= maxReservations) {
            return;
        }
        int wanted = Math.min(waiting.unplacedTaskCount(), admissibleTasks);
        List<FutureFit> futureFits = new ArrayList<>();
        Resources task = waiting.job().spec().taskResources();
        for (MachineCapacity capacity : state.machines()) {
            if (!state.isEligible(waiting, capacity)) {
                continue;
            }
            if (capacity.fits(task)) {
                wanted -= capacity.free().countFittingTasks(task);
                if (wanted <= 0) {
                    return;
                }
            } else if (!capacity.isReserved()) {
                double delayS = capacity.secondsUntilFit(task, estimator, state.now());
                if (delayS < Double.POSITIVE_INFINITY) {
                    futureFits.add(new FutureFit(capacity, delayS));
                }
            }
        }
        reserveSoonest(futureFits, task, wanted);
    }

    private void reserveSoonest(List<FutureFit> futureFits, Resources task, int wanted) {
        futureFits.sort(Comparator.comparingDouble(FutureFit::delayS));
        int count = Math.min(futureFits.size(), Math.min(wanted, maxReservations - reservationCount));
        for (FutureFit fit : futureFits.subList(0, count)) {
            fit.capacity.reserve(task);
        }
        reservationCount += count;
    }

    /**
     * Reserves the rest of a team's quota if the quota alone keeps the job from starting. Without this reservation,
     * smaller tasks of the team would take all quota as it is freed, and a large task would never start.
     */
    private void reserveTeamQuota(WaitingJob waiting) {
        String team = waiting.job().spec().team();
        if (maxReservations == 0 || state.quotas().isReserved(team)) {
            return;
        }
        Resources task = waiting.job().spec().taskResources();
        for (MachineCapacity capacity : state.machines()) {
            if (capacity.fits(task) && state.isEligible(waiting, capacity)) {
                state.quotas().reserve(team);
                return;
            }
        }
    }
}
