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

/** Finds the machines whose leases have run out, and those that have to be given up. It changes nothing itself. */
final class FailureDetector {
    /** Beyond a lease's drift: late timers, on both sides. */
    private static final double LEASE_MARGIN_S = 1;

    /** After this many leases a machine is given up even if most of its zone is silent too. */
    private static final double LEASES_OF_A_CUT_ZONE = 4;

    private final Loop loop;
    private final Cluster cluster;
    private final Settings settings;
    private final Policy policy;
    private final CancellationTimes times;
    private long behindUntil = Long.MIN_VALUE;

    /** A zone from which nothing was heard for so many report periods is cut off, or this node is. */
    private static final double CUT_OF_REPORT = 1.5;

    /** How many machines of a zone there are, how many of them are in touch, and when one was last heard. */
    private static final class ZoneCount {
        private int machines;
        private int inTouch;
        private long lastHeartbeat = Long.MIN_VALUE;
    }

    FailureDetector(Loop loop, Cluster cluster, Settings settings, Policy policy) {
        this.loop = loop;
        this.cluster = cluster;
        this.settings = settings;
        this.policy = policy;
        this.times = CancellationTimes.of(settings.workers());
    }

    /** This node does not keep up: what it has not heard yet may well have been said. */
    void fallsBehind() {
        behindUntil = loop.nanos() + Durations.nanos(settings.workers().leaseS() / 2);
    }

    /** Machines that nobody can have answered for a whole lease: they have killed their tasks. */
    List<Machine> withExpiredLeases() {
        long lease = Durations.nanos(
                settings.workers().leaseS() * (1 + 2 * Durations.MAX_CLOCK_DRIFT_RATIO) + LEASE_MARGIN_S);
        long now = loop.nanos();
        List<Machine> expired = new ArrayList<>();
        for (Machine m : cluster.machines()) {
            if (now - m.lease().lastRenewal() > lease && hasOpenBinding(m)) {
                expired.add(m);
            }
        }
        return expired;
    }

    private static boolean hasOpenBinding(Machine m) {
        return m.bindings().stream().anyMatch(b -> b.stage() != Binding.Stage.RELEASING);
    }

    /**
     * Machines on which the stop of a cancelled task has gone unproven for too long: a machine that hangs or cannot be
     * reached keeps the task, and only its deletion is sure to come in time.
     */
    List<Machine> withOverdueStops() {
        long now = loop.nanos();
        return cluster.machines().stream()
                .filter(m -> m.bindings().stream().anyMatch(b -> stopOverdue(b, now)))
                .toList();
    }

    /** How long ago the job of the oldest stop that is not proven was cancelled, in seconds; 0 if there is none. */
    double oldestUnprovenStopS() {
        long now = loop.nanos();
        return cluster.machines().stream()
                .flatMap(m -> m.bindings().stream())
                .filter(FailureDetector::stopUnproven)
                .mapToDouble(b -> Durations.secondsSince(b.job().cancelledAt(), now))
                .max()
                .orElse(0);
    }

    private static boolean stopUnproven(Binding b) {
        return b.job().isCancelled() && b.stage() != Binding.Stage.PROPOSED && !b.isProvenGone();
    }

    private boolean stopOverdue(Binding b, long now) {
        Job job = b.job();
        return stopUnproven(b)
                && Durations.secondsSince(job.cancelledAt(), now) > times.unprovenStopTimeoutS()
                && Durations.secondsSince(job.cancellationLearnedAt(), now) > times.stopProofTimeoutS();
    }

    /**
     * Machines that fell silent, that are heard but not reached, or that never came up; none while this node does not
     * keep up with the reports that come.
     */
    List<Machine> lost() {
        long now = loop.nanos();
        List<Machine> lost = new ArrayList<>();
        if (now < behindUntil) {
            return lost;
        }
        Map<String, ZoneCount> zones = zones(now);
        for (Machine m : cluster.machines()) {
            if (m.hasReported() ? silentAlone(m, zones.get(m.zone()), now) : neverCameUp(m, now)) {
                lost.add(m);
            }
        }
        return lost;
    }

    private Map<String, ZoneCount> zones(long now) {
        Map<String, ZoneCount> zones = new HashMap<>();
        for (Machine m : cluster.machines()) {
            if (m.hasReported()) {
                ZoneCount count = zones.computeIfAbsent(m.zone(), z -> new ZoneCount());
                count.machines++;
                count.inTouch += outOfTouchS(m, now) < silentS() ? 1 : 0;
                count.lastHeartbeat = Math.max(count.lastHeartbeat, m.lease().lastHeartbeat());
            }
        }
        return zones;
    }

    private double silentS() {
        return policy.fleet().silenceTimeoutLeases() * settings.workers().leaseS();
    }

    private boolean neverCameUp(Machine m, long now) {
        double bootS = cluster.typeOf(m).map(MachineType::bootS).orElse(Double.MAX_VALUE);
        return Durations.secondsSince(m.launchedAt(), now) > policy.fleet().bootTimeoutBoots() * bootS
                && Durations.secondsSince(m.knownSince(), now)
                        > settings.workers().leaseS();
    }

    /** Where most machines of a zone are silent it is rather the network, and they may be back. */
    private boolean silentAlone(Machine m, ZoneCount zone, long now) {
        double leaseS = settings.workers().leaseS();
        double silentForS = outOfTouchS(m, now);
        // One that this leader has not heard at all may still be looking for it, with all the others.
        boolean silent = silentForS > (m.lease().isFenced() ? silentS() : leaseS);
        return silent && (inTouch(zone, now) || silentForS > LEASES_OF_A_CUT_ZONE * leaseS);
    }

    /**
     * True if most machines of a zone are in touch. That alone would not do: as a zone is cut off, those that reported
     * first are silent for long enough while most others are not yet.
     */
    private boolean inTouch(ZoneCount zone, long now) {
        double quietS = Durations.secondsSince(zone.lastHeartbeat, now);
        return zone.inTouch * 2 > zone.machines
                && quietS < CUT_OF_REPORT * settings.workers().heartbeatIntervalS();
    }

    /** How long the machine has not been heard, or has been heard without doing as it was told. */
    private static double outOfTouchS(Machine m, long now) {
        double silentS = Durations.secondsSince(m.lease().lastHeartbeat(), now);
        return m.awaitsAcknowledgement()
                ? Math.max(silentS, Durations.secondsSince(m.unacknowledgedSince(), now))
                : silentS;
    }
}
