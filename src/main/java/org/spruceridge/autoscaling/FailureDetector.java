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

/** Finds the machines whose leases have expired and those that are declared dead. It changes no state of the cluster. */
final class FailureDetector {
    /** Added to the lease beyond clock drift, for late timers on both sides. */
    private static final double LEASE_MARGIN_S = 1;

    /** After this many leases a machine is declared dead even if its zone seems to be partitioned. */
    private static final double PARTITIONED_ZONE_LEASES = 4;

    private final Loop loop;
    private final Cluster cluster;
    private final Settings settings;
    private final Policy policy;
    private final CancellationTimes times;
    private long overloadedUntil = Long.MIN_VALUE;

    /** A zone without a heartbeat for so many heartbeat intervals is partitioned, or this node is. */
    private static final double PARTITIONED_ZONE_HEARTBEATS = 1.5;

    /** The machines of a zone, how many of them are responsive, and when one last sent a heartbeat. */
    private static final class ZoneCount {
        private int machines;
        private int responsive;
        private long lastHeartbeat = Long.MIN_VALUE;
    }

    FailureDetector(Loop loop, Cluster cluster, Settings settings, Policy policy) {
        this.loop = loop;
        this.cluster = cluster;
        this.settings = settings;
        this.policy = policy;
        this.times = CancellationTimes.of(settings.workers());
    }

    /** Records that this node does not keep up: heartbeats may have arrived that it has not handled yet. */
    void recordOverload() {
        overloadedUntil = loop.nanos() + Durations.nanos(settings.workers().leaseS() / 2);
    }

    /** Machines whose lease no leader can have renewed in time: their workers have killed all tasks. */
    List<Machine> findExpiredLeases() {
        long lease = Durations.nanos(
                settings.workers().leaseS() * (1 + 2 * Durations.MAX_CLOCK_DRIFT_RATIO) + LEASE_MARGIN_S);
        long now = loop.nanos();
        List<Machine> expired = new ArrayList<>();
        for (Machine machine : cluster.machines()) {
            if (now - machine.lease().lastRenewal() > lease && hasOpenBinding(machine)) {
                expired.add(machine);
            }
        }
        return expired;
    }

    private static boolean hasOpenBinding(Machine machine) {
        return machine.bindings().stream().anyMatch(binding -> binding.stage() != Binding.Stage.RELEASING);
    }

    /**
     * Machines on which the stop of a cancelled task has gone unproven for too long: a machine that hangs or cannot be
     * reached keeps the task, and only its deletion is sure to come in time.
     */
    List<Machine> findOverdueStops() {
        long now = loop.nanos();
        return cluster.machines().stream()
                .filter(machine -> machine.bindings().stream().anyMatch(binding -> stopOverdue(binding, now)))
                .toList();
    }

    /** How long ago the job of the oldest stop that is not proven was cancelled, in seconds; 0 if there is none. */
    double oldestUnprovenStopS() {
        long now = loop.nanos();
        return cluster.machines().stream()
                .flatMap(machine -> machine.bindings().stream())
                .filter(FailureDetector::stopUnproven)
                .mapToDouble(binding -> Durations.secondsSince(binding.job().cancelledAt(), now))
                .max()
                .orElse(0);
    }

    private static boolean stopUnproven(Binding binding) {
        return binding.job().isCancelled() && binding.stage() != Binding.Stage.PROPOSED && !binding.isProvenGone();
    }

    private boolean stopOverdue(Binding binding, long now) {
        Job job = binding.job();
        return stopUnproven(binding)
                && Durations.secondsSince(job.cancelledAt(), now) > times.unprovenStopTimeoutS()
                && Durations.secondsSince(job.cancellationLearnedAt(), now) > times.stopProofTimeoutS();
    }

    /**
     * Machines that stopped sending heartbeats, do not acknowledge commands, or failed to boot; none while this node does
     * not keep up with the heartbeats that arrive.
     */
    List<Machine> findDead() {
        long now = loop.nanos();
        List<Machine> dead = new ArrayList<>();
        if (now < overloadedUntil) {
            return dead;
        }
        Map<String, ZoneCount> zones = zones(now);
        for (Machine machine : cluster.machines()) {
            if (machine.hasReported() ? isDead(machine, zones.get(machine.zone()), now) : failedToBoot(machine, now)) {
                dead.add(machine);
            }
        }
        return dead;
    }

    private Map<String, ZoneCount> zones(long now) {
        Map<String, ZoneCount> zones = new HashMap<>();
        for (Machine machine : cluster.machines()) {
            if (machine.hasReported()) {
                ZoneCount count = zones.computeIfAbsent(machine.zone(), z -> new ZoneCount());
                count.machines++;
                count.responsive += unresponsiveS(machine, now) < deadAfterS() ? 1 : 0;
                count.lastHeartbeat =
                        Math.max(count.lastHeartbeat, machine.lease().lastHeartbeat());
            }
        }
        return zones;
    }

    private double deadAfterS() {
        return policy.fleet().silenceTimeoutLeases() * settings.workers().leaseS();
    }

    private boolean failedToBoot(Machine machine, long now) {
        double bootS = cluster.typeOf(machine).map(MachineType::bootS).orElse(Double.MAX_VALUE);
        return Durations.secondsSince(machine.launchedAt(), now)
                        > policy.fleet().bootTimeoutBoots() * bootS
                && Durations.secondsSince(machine.knownSince(), now)
                        > settings.workers().leaseS();
    }

    /** Where most machines of a zone are unresponsive, the network is the likely cause, and they may return. */
    private boolean isDead(Machine machine, ZoneCount zone, long now) {
        double leaseS = settings.workers().leaseS();
        double unresponsiveForS = unresponsiveS(machine, now);
        // A worker that has not sent a heartbeat to this leader yet may still be looking for it.
        boolean exceeded = unresponsiveForS > (machine.lease().isFenced() ? deadAfterS() : leaseS);
        return exceeded && (responsive(zone, now) || unresponsiveForS > PARTITIONED_ZONE_LEASES * leaseS);
    }

    /**
     * True if most machines of a zone are responsive and one sent a heartbeat lately. The majority alone is not enough:
     * when a zone is partitioned, the machines that sent theirs first exceed the limit while most others do not yet.
     */
    private boolean responsive(ZoneCount zone, long now) {
        double quietS = Durations.secondsSince(zone.lastHeartbeat, now);
        return zone.responsive * 2 > zone.machines
                && quietS < PARTITIONED_ZONE_HEARTBEATS * settings.workers().heartbeatIntervalS();
    }

    /** For how many seconds the machine has sent no heartbeat, or has not acknowledged a command. */
    private static double unresponsiveS(Machine machine, long now) {
        double silentS = Durations.secondsSince(machine.lease().lastHeartbeat(), now);
        return machine.awaitsAcknowledgement()
                ? Math.max(silentS, Durations.secondsSince(machine.unacknowledgedSince(), now))
                : silentS;
    }
}
