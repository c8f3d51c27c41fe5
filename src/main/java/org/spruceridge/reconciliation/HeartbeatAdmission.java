package org.spruceridge.reconciliation;

import java.util.Optional;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Machine;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.reconciliation.HeartbeatResult.Rejected;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.worker.WorkerHeartbeat;

/** Decides by fencing token and freshness which heartbeats count, and records those that do on their machines. */
final class HeartbeatAdmission {
    private static final Logger LOG = LoggerFactory.getLogger(HeartbeatAdmission.class);

    private final Loop loop;
    private final Cluster cluster;
    private final long term;

    HeartbeatAdmission(LeaderContext context) {
        this.loop = context.loop();
        this.cluster = context.cluster();
        this.term = context.term().term();
    }

    /**
     * Why a heartbeat does not count; empty if it does. One that counts carries this term's fencing token and is newer than
     * all before it: commands of earlier leaders can no longer reach that worker, so a task that it lacks is not there. A
     * machine that is not known yet is added to the cluster state.
     */
    Optional<Rejected> check(WorkerHeartbeat heartbeat) {
        // Without this term's token it may be a copy of any age, of a machine that is gone. The response brings the
        // token,
        // and the next heartbeat carries it.
        if (heartbeat.fencingToken() != term) {
            return Optional.of(Rejected.OTHER_FENCING_TOKEN);
        }
        if (cluster.wasRemoved(heartbeat.machine())) {
            return Optional.of(Rejected.MACHINE_DELETED);
        }
        Machine machine = findOrAdd(heartbeat);
        boolean newer = machine.heartbeatVersion().isSupersededBy(heartbeat.incarnation(), heartbeat.sequence());
        return newer ? Optional.empty() : Optional.of(Rejected.OUTDATED);
    }

    /** True if the machine has room from this heartbeat on: it is the first of an incarnation, or the first of this term. */
    boolean makesAvailable(Machine machine, WorkerHeartbeat heartbeat) {
        return !machine.lease().isFenced() || machine.heartbeatVersion().isNewIncarnation(heartbeat.incarnation());
    }

    /** Records a heartbeat that counts: its version and address, the fencing token and the reclaim notice. */
    void record(Machine machine, WorkerHeartbeat heartbeat, HeartbeatOrigin origin, long now) {
        long incarnation = heartbeat.incarnation();
        switch (origin) {
            case WORKER_REQUEST -> machine.recordHeartbeat(incarnation, heartbeat.sequence(), heartbeat.address(), now);
            case COMMAND_REPLY -> machine.recordStatus(incarnation, heartbeat.sequence(), heartbeat.address(), now);
            default -> throw new IllegalStateException("no such origin: " + origin);
        }
        machine.lease().fence();
        if (heartbeat.reclaimNoticeS().isPresent()) {
            long noticeNanos = Durations.nanos(heartbeat.reclaimNoticeS().getAsDouble());
            machine.reclaim().announce(now + noticeNanos);
        } else {
            machine.reclaim().withdraw();
        }
    }

    private Machine findOrAdd(WorkerHeartbeat heartbeat) {
        Machine known = cluster.machine(heartbeat.machine());
        if (known != null) {
            return known;
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
