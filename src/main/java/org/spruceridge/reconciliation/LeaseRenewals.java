package org.spruceridge.reconciliation;

import java.util.HashMap;
import java.util.Map;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Machine;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.worker.WorkerHeartbeat;

/** Records which workers' leases are renewed by responses, and decides which heartbeats get none. */
final class LeaseRenewals {
    private final Loop loop;
    private final Cluster cluster;
    private final long term;
    private final long workerLeaseNanos;
    /** When the heartbeats of machines were answered that are not in the cluster state yet, on the steady clock. */
    private final Map<String, Long> renewedDuringFailover = new HashMap<>();

    LeaseRenewals(LeaderContext context) {
        this.loop = context.loop();
        this.cluster = context.cluster();
        this.term = context.term().term();
        this.workerLeaseNanos = Durations.nanos(context.settings().workers().leaseS());
    }

    /** Records that a heartbeat is answered and that its worker gets this term's fencing token with the response. */
    void record(WorkerHeartbeat heartbeat) {
        Machine machine = cluster.machine(heartbeat.machine());
        if (machine != null) {
            machine.lease().recordRenewal(loop.nanos(), heartbeat.fencingToken() == term);
        }
    }

    /** Records that a heartbeat is answered before the machines are known. */
    void recordDuringFailover(WorkerHeartbeat heartbeat) {
        renewedDuringFailover.put(heartbeat.machine(), loop.nanos());
    }

    /** The machines are known from now on: the renewals of the failover are recorded on them. */
    void failoverCompleted() {
        renewedDuringFailover.forEach((name, renewedAt) -> {
            Machine machine = cluster.machine(name);
            if (machine != null) {
                machine.lease().recordRenewalDuringFailover(renewedAt);
            }
        });
        renewedDuringFailover.clear();
    }

    /**
     * True if a response would only delay the proof that the machine's tasks are gone: it is terminating and does not carry
     * out its commands, or it has been answered for longer than a lease and does not show this term's fencing token.
     */
    boolean areWithheldFrom(WorkerHeartbeat heartbeat) {
        Machine machine = cluster.machine(heartbeat.machine());
        if (machine == null || machine.bindings().isEmpty()) {
            return false;
        }
        // Not before a whole lease: right after a failover, responses may be too late for workers that are not at
        // fault.
        boolean fencingOverdue =
                heartbeat.fencingToken() != term && machine.lease().isFencingOverdue(loop.nanos(), workerLeaseNanos);
        return fencingOverdue || (machine.isTerminating() && machine.awaitsAcknowledgement());
    }
}
