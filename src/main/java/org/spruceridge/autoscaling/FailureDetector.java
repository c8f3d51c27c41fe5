package org.spruceridge.autoscaling;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineType;
import org.spruceridge.config.CancellationTimes;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;

/** Finds machines with expired leases, machines with overdue stops, and dead machines. Does not change the cluster. */
final class FailureDetector {
    /** The time added to a lease duration for late timers on the leader and the worker. Clock drift is added too. */
    private static final double LEASE_MARGIN_S = 1;

    /** A machine that is unresponsive for more than this many lease durations is dead, even in a partitioned zone. */
    private static final double PARTITIONED_ZONE_LEASES = 4;

    private final Loop loop;
    private final Cluster cluster;
    private final Settings settings;
    private final Policy policy;
    private final CancellationTimes cancellationTimes;
    private long overloadedUntil = Long.MIN_VALUE;

    /** If no machine of a zone sends a heartbeat for this many intervals, the zone or this node is partitioned. */
    private static final double PARTITIONED_ZONE_HEARTBEAT_INTERVALS = 1.5;

    /**
     * The machines of a zone that have sent a heartbeat: their number, the number of responsive ones, and the time of
     * the latest heartbeat.
     */
    private static final class ZoneStatus {
        private int machineCount;
        private int responsiveCount;
        private long lastHeartbeat = Long.MIN_VALUE;
    }

    FailureDetector(Loop loop, Cluster cluster, Settings settings, Policy policy) {
        this.loop = loop;
        this.cluster = cluster;
        this.settings = settings;
        this.policy = policy;
        this.cancellationTimes = CancellationTimes.of(settings.workers());
    }

    /**
     * Records that this node is overloaded. It might therefore have received heartbeats that it has not processed. For
     * half a lease from now, no machine is declared dead.
     */
    void recordOverload() {
        overloadedUntil = loop.nanos() + Durations.nanos(settings.workers().leaseS() / 2);
    }

    /**
     * Finds machines whose lease has certainly expired, whichever leader last renewed the lease. The workers of these
     * machines have killed all their tasks. Machines without tasks to release are left out.
     */
    List<Machine> findMachinesWithExpiredLease() {
        long leaseNanos = Durations.nanos(
                settings.workers().leaseS() * (1 + 2 * Durations.MAX_CLOCK_DRIFT_RATIO) + LEASE_MARGIN_S);
        long now = loop.nanos();
        List<Machine> expired = new ArrayList<>();
        for (Machine machine : cluster.machines()) {
            if (now - machine.lease().lastRenewal() > leaseNanos && hasOpenBinding(machine)) {
                expired.add(machine);
            }
        }
        return expired;
    }

    private static boolean hasOpenBinding(Machine machine) {
        return machine.bindings().stream().anyMatch(binding -> binding.stage() != Binding.Stage.RELEASING);
    }

    /**
     * Finds machines on which the stop of a cancelled task has been unproven for too long. A machine that hangs or is
     * unreachable keeps its tasks. Deleting such a machine is the only certain way to stop a task in time.
     */
    List<Machine> findMachinesWithOverdueStop() {
        long now = loop.nanos();
        return cluster.machines().stream()
                .filter(machine -> machine.bindings().stream().anyMatch(binding -> isStopOverdue(binding, now)))
                .toList();
    }

    /**
     * The time since the earliest cancellation of a job whose tasks are not all proven to be stopped, in seconds; 0 if
     * there is no such job.
     */
    double oldestUnprovenStopS() {
        long now = loop.nanos();
        return cluster.machines().stream()
                .flatMap(machine -> machine.bindings().stream())
                .filter(FailureDetector::isStopUnproven)
                .mapToDouble(binding -> Durations.secondsSince(binding.job().cancelledAt(), now))
                .max()
                .orElse(0);
    }

    /** True if the job is cancelled, but its task might be on the machine or a start command for it might arrive. */
    private static boolean isStopUnproven(Binding binding) {
        return binding.job().isCancelled() && binding.stage() != Binding.Stage.PROPOSED && !binding.isProvenGone();
    }

    private boolean isStopOverdue(Binding binding, long now) {
        Job job = binding.job();
        return isStopUnproven(binding)
                && Durations.secondsSince(job.cancelledAt(), now) > cancellationTimes.unprovenStopTimeoutS()
                && Durations.secondsSince(job.cancellationLearnedAt(), now) > cancellationTimes.stopProofTimeoutS();
    }

    /**
     * Finds machines that have stopped sending heartbeats, do not acknowledge commands, or have failed to boot. Returns
     * no machines while this node is overloaded, because it might not have processed all received heartbeats.
     */
    List<Machine> findDeadMachines() {
        long now = loop.nanos();
        List<Machine> dead = new ArrayList<>();
        if (now < overloadedUntil) {
            return dead;
        }
        Map<String, ZoneStatus> zones = zoneStatuses(now);
        for (Machine machine : cluster.machines()) {
            if (machine.hasReported()
                    ? isDead(machine, zones.get(machine.zone()), now)
                    : hasFailedToBoot(machine, now)) {
                dead.add(machine);
            }
        }
        return dead;
    }

    private Map<String, ZoneStatus> zoneStatuses(long now) {
        Map<String, ZoneStatus> zones = new HashMap<>();
        for (Machine machine : cluster.machines()) {
            if (machine.hasReported()) {
                ZoneStatus status = zones.computeIfAbsent(machine.zone(), z -> new ZoneStatus());
                status.machineCount++;
                status.responsiveCount += unresponsiveDurationS(machine, now) < deadTimeoutS() ? 1 : 0;
                status.lastHeartbeat =
                        Math.max(status.lastHeartbeat, machine.lease().lastHeartbeat());
            }
        }
        return zones;
    }

    private double deadTimeoutS() {
        return policy.fleet().silenceTimeoutLeases() * settings.workers().leaseS();
    }

    private boolean hasFailedToBoot(Machine machine, long now) {
        double bootS = cluster.machineTypeOf(machine).map(MachineType::bootS).orElse(Double.MAX_VALUE);
        return Durations.secondsSince(machine.launchedAt(), now)
                        > policy.fleet().bootTimeoutBoots() * bootS
                && Durations.secondsSince(machine.knownSince(), now)
                        > settings.workers().leaseS();
    }

    /**
     * True if the machine has been unresponsive for longer than its timeout. If the zone as a whole is not responsive,
     * the likely cause is the network and its machines can recover. A longer timeout therefore applies.
     */
    private boolean isDead(Machine machine, ZoneStatus zone, long now) {
        double leaseS = settings.workers().leaseS();
        double unresponsiveForS = unresponsiveDurationS(machine, now);
        // A worker whose heartbeats do not yet contain a fencing token of this term might still be locating this
        // leader.
        boolean isTimedOut = unresponsiveForS > (machine.fencing().isFenced() ? deadTimeoutS() : leaseS);
        return isTimedOut && (isZoneResponsive(zone, now) || unresponsiveForS > PARTITIONED_ZONE_LEASES * leaseS);
    }

    /**
     * True if most machines of a zone are responsive and at least one machine has recently sent a heartbeat. The first
     * condition is not enough. When a zone is partitioned, the machines with the oldest heartbeats reach the timeout
     * while most other machines of the zone still count as responsive.
     */
    private boolean isZoneResponsive(ZoneStatus zone, long now) {
        double sinceLastHeartbeatS = Durations.secondsSince(zone.lastHeartbeat, now);
        return zone.responsiveCount * 2 > zone.machineCount
                && sinceLastHeartbeatS
                        < PARTITIONED_ZONE_HEARTBEAT_INTERVALS
                                * settings.workers().heartbeatIntervalS();
    }

    /**
     * The number of seconds for which the machine has been unresponsive. Counts from the earliest of three events: its
     * last heartbeat, the sending of its oldest unacknowledged command, and the time at which it became suspect.
     */
    private static double unresponsiveDurationS(Machine machine, long now) {
        double sinceLastHeartbeatS = Durations.secondsSince(machine.lease().lastHeartbeat(), now);
        return machine.awaitsAcknowledgement()
                ? Math.max(sinceLastHeartbeatS, Durations.secondsSince(machine.unacknowledgedSince(), now))
                : sinceLastHeartbeatS;
    }
}
