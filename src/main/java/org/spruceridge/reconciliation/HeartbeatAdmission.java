package org.spruceridge.reconciliation;

import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Machine;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.reconciliation.HeartbeatResult.Rejected;
import org.spruceridge.term.FencingTokens;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.worker.WorkerHeartbeat;

/** Accepts or rejects heartbeats by fencing token and freshness. Records accepted heartbeats on their machines. */
final class HeartbeatAdmission {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatAdmission.class);

    private final Loop loop;
    private final Cluster cluster;
    private final FencingTokens fencingTokens;

    HeartbeatAdmission(LeaderContext context, FencingTokens fencingTokens) {
        this.loop = context.loop();
        this.cluster = context.cluster();
        this.fencingTokens = fencingTokens;
    }

    /**
     * Returns the reason for rejecting a heartbeat; empty if the heartbeat is accepted. An accepted heartbeat carries
     * a fencing token of this term and is newer than all earlier accepted heartbeats of its machine. The worker no longer
     * executes commands of earlier leaders. Therefore a task that the heartbeat does not list is not on the machine. An
     * unknown machine is added to the cluster state.
     */
    Optional<Rejected> check(WorkerHeartbeat heartbeat) {
        // A heartbeat without a token of this term can be a duplicate of any age, even from a machine that no longer
        // exists. The response delivers the token to the worker, and the worker's next heartbeat carries the token.
        if (!fencingTokens.contains(heartbeat.fencingToken())) {
            return Optional.of(Rejected.OTHER_FENCING_TOKEN);
        }
        if (cluster.wasRemoved(heartbeat.machine())) {
            return Optional.of(Rejected.MACHINE_DELETED);
        }
        Machine machine = findOrAdd(heartbeat);
        boolean isNewer = machine.heartbeatVersion().isSupersededBy(heartbeat.incarnation(), heartbeat.sequence());
        return isNewer ? Optional.empty() : Optional.of(Rejected.OUTDATED);
    }

    /**
     * Returns whether this heartbeat makes the machine available: it is the first heartbeat of an incarnation or of
     * this term.
     */
    boolean makesMachineAvailable(Machine machine, WorkerHeartbeat heartbeat) {
        return !machine.fencing().isFenced() || machine.heartbeatVersion().isNewIncarnation(heartbeat.incarnation());
    }

    /**
     * Records an accepted heartbeat on its machine: the version, the address, the fencing token, the listed attempts and
     * the reclaim notice.
     */
    void record(Machine machine, WorkerHeartbeat heartbeat, HeartbeatOrigin origin, long now) {
        long incarnation = heartbeat.incarnation();
        switch (origin) {
            case WORKER_REQUEST -> machine.recordHeartbeat(incarnation, heartbeat.sequence(), heartbeat.address(), now);
            case COMMAND_RESPONSE -> machine.recordStatus(incarnation, heartbeat.sequence(), heartbeat.address(), now);
            default -> throw new IllegalStateException("no such origin: " + origin);
        }
        machine.fencing().fence();
        machine.startCommands().recordAcceptedFencingToken(heartbeat.fencingToken());
        heartbeat.tasks().forEach(status -> machine.startCommands().recordListed(status.attempt()));
        if (heartbeat.reclaimNoticeS().isPresent()) {
            long noticeNanos = Durations.nanos(heartbeat.reclaimNoticeS().getAsDouble());
            machine.reclaim().announce(now + noticeNanos);
        } else {
            machine.reclaim().withdraw();
        }
    }

    private Machine findOrAdd(WorkerHeartbeat heartbeat) {
        Machine existing = cluster.machine(heartbeat.machine());
        if (existing != null) {
            return existing;
        }
        long now = loop.nanos();
        Machine machine = new Machine(heartbeat.machine(), heartbeat.address(), heartbeat.kind(), now, now);
        cluster.add(machine);
        LOG.info(
                "unknown machine added machine={} machineType={} zone={}",
                machine.name(),
                machine.type(),
                machine.zone());
        return machine;
    }
}
