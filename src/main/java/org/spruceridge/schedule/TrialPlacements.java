package org.spruceridge.schedule;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BiConsumer;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.JobFailures;
import org.spruceridge.cluster.JobSpec;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.cluster.TaskFailures;
import org.spruceridge.net.Durations;

/**
 * Places trials: tasks on machines on which earlier tasks failed. A trial is the last resort for a task that no other
 * machine can take. Its success shows that the machine is in order; its failure delays the next trial. Without trials,
 * a cordoned machine that is never idle could not show that it is in order again, and a job that failed on the only
 * machine that fits would never run.
 */
final class TrialPlacements {
    /** The usual boot time of a new machine is at most this many nominal boot times. */
    private static final double USUAL_BOOTS = 1.5;

    /** The maximum delay of a trial. No job is to wait for 90 s while a machine that fits has room. */
    private static final double MAX_DELAY_S = 30;

    private final CycleState state;
    private final List<Machine> bootingMachines = new ArrayList<>();
    private final Set<Machine> machinesWithTrial = new HashSet<>();

    TrialPlacements(CycleState state) {
        this.state = state;
    }

    /**
     * Calls {@code place} for each trial. Jobs without failures come first, because a failure of their tasks says most
     * about the machine.
     */
    void select(Collection<WaitingJob> waitingJobs, BiConsumer<WaitingJob, MachineCapacity> place) {
        List<MachineCapacity> machines = machinesWithFailures();
        if (machines.isEmpty()) {
            return;
        }
        findBootingMachines();
        for (WaitingJob waiting : waitingJobs) {
            if (!waiting.job().hasFailed()) {
                placeTrials(waiting, state.cordonedMachines(), place);
            }
        }
        for (WaitingJob waiting : waitingJobs) {
            if (waiting.job().hasFailed()) {
                placeTrials(waiting, machines, place);
            }
        }
    }

    /** The machines that are not cordoned come first. */
    private List<MachineCapacity> machinesWithFailures() {
        List<MachineCapacity> machines = new ArrayList<>();
        for (MachineCapacity capacity : state.machines()) {
            if (!capacity.machine().taskFailures().isEmpty()) {
                machines.add(capacity);
            }
        }
        machines.addAll(state.cordonedMachines());
        return machines;
    }

    private void findBootingMachines() {
        for (Machine machine : state.clusterMachines()) {
            double usualBootS = USUAL_BOOTS * state.bootS(machine.kind());
            if (!machine.hasReported() && Durations.secondsSince(machine.launchedAt(), state.now()) < usualBootS) {
                bootingMachines.add(machine);
            }
        }
    }

    private void placeTrials(
            WaitingJob waiting, List<MachineCapacity> machines, BiConsumer<WaitingJob, MachineCapacity> place) {
        for (MachineCapacity capacity : machines) {
            if (waiting.unplacedTaskCount() == 0
                    || state.quotas().countAdmissibleTasks(waiting.job().spec()) == 0) {
                return;
            }
            if (state.isEligibleDespiteFailures(waiting, capacity) && isTrialDue(waiting.job(), capacity.machine())) {
                machinesWithTrial.add(capacity.machine());
                place.accept(waiting, capacity);
            }
        }
    }

    private boolean isTrialDue(Job job, Machine machine) {
        TaskFailures failures = machine.taskFailures();
        return (failures.isCordoned() || failures.contains(job))
                && !hasTrial(job, machine)
                && isDelayOver(job, machine);
    }

    /** A cordoned machine gets one trial at a time; another machine gets one of each job at a time. */
    private boolean hasTrial(Job job, Machine machine) {
        if (machinesWithTrial.contains(machine)) {
            return true;
        }
        TaskFailures failures = machine.taskFailures();
        long lastFailureAt = failures.of(job).map(JobFailures::lastAt).orElse(Long.MAX_VALUE);
        for (Binding binding : machine.bindings()) {
            boolean isTrialOfJob = binding.job() == job && binding.createdAt() > lastFailureAt;
            if (isTrialOfJob || failures.isTrial(binding.createdAt())) {
                return true;
            }
        }
        return false;
    }

    /**
     * The delay is the heartbeat interval, doubled for each job whose tasks failed on a cordoned machine, and for each
     * failure of the job itself. While a machine boots that can take the task, the delay is at least the usual boot time.
     */
    private boolean isDelayOver(Job job, Machine machine) {
        TaskFailures failures = machine.taskFailures();
        double minDelayS = isCapacityBooting(job.spec()) ? USUAL_BOOTS * state.bootS(machine.kind()) : 0;
        boolean isMachineDue = !failures.isCordoned()
                || isOver(
                        failures.lastIndicationAt(),
                        Math.max(minDelayS, delayS(failures.jobIds().size())));
        boolean isJobDue = failures.of(job)
                .map(own -> isOver(own.lastAt(), Math.max(minDelayS, delayS(own))))
                .orElse(true);
        return isMachineDue && isJobDue;
    }

    private double delayS(JobFailures failures) {
        return delayS(failures.count());
    }

    private double delayS(int doublings) {
        return Math.min(MAX_DELAY_S, state.workers().heartbeatIntervalS() * Math.pow(2, doublings));
    }

    private boolean isOver(long startNanos, double delayS) {
        return Durations.secondsSince(startNanos, state.now()) >= delayS;
    }

    private boolean isCapacityBooting(JobSpec spec) {
        return bootingMachines.stream().map(Machine::kind).anyMatch(kind -> allows(spec, kind));
    }

    private static boolean allows(JobSpec spec, MachineKind kind) {
        return spec.allows(kind.type(), kind.zone(), kind.spot());
    }
}
