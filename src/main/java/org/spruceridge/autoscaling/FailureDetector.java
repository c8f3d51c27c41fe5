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

/** Finds machines with expired leases and dead machines. It does not change the cluster state. */
final class FailureDetector {
    /** Allowance for late timers on both sides, added to the lease duration in addition to clock drift. */
    private static final double LEASE_MARGIN_S = 1;

    /** After this many lease durations a machine is declared dead even if its zone appears to be partitioned. */
    private static final double PARTITIONED_ZONE_LEASES = 4;

    private final Loop loop;
    private final Cluster cluster;
    private final Settings settings;
    private final Policy policy;
    private final CancellationTimes cancellationTimes;
    private long overloadedUntil = Long.MIN_VALUE;

    /** If a zone sends no heartbeat for this many heartbeat intervals, the zone or this node is partitioned. */
    private static final double PARTITIONED_ZONE_HEARTBEAT_INTERVALS = 1.5;

    /** The number of machines and of responsive machines in a zone, and the time of its latest heartbeat. */
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

    /** Records that this node is overloaded, so that it may not have processed all heartbeats that have arrived. */
    void recordOverload() {
        overloadedUntil = loop.nanos() + Durations.nanos(settings.workers().leaseS() / 2);
    }

    /** Finds machines whose leases no leader can have renewed in time: their workers have killed all tasks. */
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
     * unreachable keeps its task, and only deleting the machine is certain to stop the task in time.
     */
    List<Machine> findMachinesWithOverdueStop() {
        long now = loop.nanos();
        return cluster.machines().stream()
                .filter(machine -> machine.bindings().stream().anyMatch(binding -> isStopOverdue(binding, now)))
                .toList();
    }

    /** The time since the earliest cancellation of a job with an unproven stop, in seconds; 0 if there is none. */
    double oldestUnprovenStopS() {
        long now = loop.nanos();
        return cluster.machines().stream()
                .flatMap(machine -> machine.bindings().stream())
                .filter(FailureDetector::isStopUnproven)
                .mapToDouble(binding -> Durations.secondsSince(binding.job().cancelledAt(), now))
                .max()
                .orElse(0);
    }

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
     * none while this node is overloaded and may not have processed all heartbeats.
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
                status.responsiveCount += unresponsiveS(machine, now) < deadTimeoutS() ? 1 : 0;
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
        double bootS = cluster.typeOf(machine).map(MachineType::bootS).orElse(Double.MAX_VALUE);
        return Durations.secondsSince(machine.launchedAt(), now)
                        > policy.fleet().bootTimeoutBoots() * bootS
                && Durations.secondsSince(machine.knownSince(), now)
                        > settings.workers().leaseS();
    }

    /**
     * If most machines of a zone are unresponsive, the likely cause is the network and they may recover, so a longer
     * timeout applies.
     */
    private boolean isDead(Machine machine, ZoneStatus zone, long now) {
        double leaseS = settings.workers().leaseS();
        double unresponsiveForS = unresponsiveS(machine, now);
        // A worker that has not yet sent a heartbeat to this leader may still be locating it.
        boolean isTimedOut = unresponsiveForS > (machine.lease().isFenced() ? deadTimeoutS() : leaseS);
        return isTimedOut && (isResponsive(zone, now) || unresponsiveForS > PARTITIONED_ZONE_LEASES * leaseS);
    }

    /**
     * True if most machines of a zone are responsive and at least one has recently sent a heartbeat. The majority alone
     * is not enough: when a zone is partitioned, the machines with the oldest heartbeats reach the timeout while most
     * others still count as responsive.
     */
    private boolean isResponsive(ZoneStatus zone, long now) {
        double sinceLastHeartbeatS = Durations.secondsSince(zone.lastHeartbeat, now);
        return zone.responsiveCount * 2 > zone.machineCount
                && sinceLastHeartbeatS
                        < PARTITIONED_ZONE_HEARTBEAT_INTERVALS
                                * settings.workers().heartbeatIntervalS();
    }

    /**
     * For how many seconds the machine has been unresponsive: since its last heartbeat, or since a command has been
     * unacknowledged or the machine suspect, whichever is longer.
     */
    private static double unresponsiveS(Machine machine, long now) {
        double sinceLastHeartbeatS = Durations.secondsSince(machine.lease().lastHeartbeat(), now);
        return machine.awaitsAcknowledgement()
                ? Math.max(sinceLastHeartbeatS, Durations.secondsSince(machine.unacknowledgedSince(), now))
                : sinceLastHeartbeatS;
    }
}
