package org.spruceridge.reconciliation;

import java.util.HashMap;
import java.util.Map;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Machine;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.term.FencingTokens;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.worker.WorkerHeartbeat;

/** Records the worker leases that responses renew, and decides which heartbeats get no response. */
final class LeaseRenewals {
    private final Loop loop;
    private final Cluster cluster;
    private final FencingTokens fencingTokens;
    private final long workerLeaseNanos;
    /**
     * The lease renewal times of machines that are not in the cluster state yet, by machine name. The times are on the
     * monotonic clock, in nanoseconds.
     */
    private final Map<String, Long> renewalTimesDuringFailover = new HashMap<>();

    LeaseRenewals(LeaderContext context, FencingTokens fencingTokens) {
        this.loop = context.loop();
        this.cluster = context.cluster();
        this.fencingTokens = fencingTokens;
        this.workerLeaseNanos = Durations.nanos(context.settings().workers().leaseS());
    }

    /** Records the response to a heartbeat. The response delivers a fencing token of this term to the worker. */
    void record(WorkerHeartbeat heartbeat) {
        Machine machine = cluster.machine(heartbeat.machine());
        if (machine != null) {
            long now = loop.nanos();
            machine.lease().recordRenewal(now);
            machine.fencing().recordResponse(now, fencingTokens.contains(heartbeat.fencingToken()));
        }
    }

    /** Records the response to a heartbeat that arrived during the failover, before the machines were known. */
    void recordDuringFailover(WorkerHeartbeat heartbeat) {
        renewalTimesDuringFailover.put(heartbeat.machine(), loop.nanos());
    }

    /** Called when the machines are known. Applies the renewals recorded during the failover to the machines. */
    void failoverCompleted() {
        renewalTimesDuringFailover.forEach((name, renewedAt) -> {
            Machine machine = cluster.machine(name);
            if (machine != null) {
                machine.lease().recordRenewalDuringFailover(renewedAt);
            }
        });
        renewalTimesDuringFailover.clear();
    }

    /**
     * Returns whether a response would only delay the proof that the machine's tasks are gone. A response would do so
     * in two cases. In the first case, the machine is terminating and does not execute its commands. In the second
     * case, the machine has received responses for longer than a lease but still does not present this term's fencing
     * token.
     */
    boolean isResponseWithheld(WorkerHeartbeat heartbeat) {
        Machine machine = cluster.machine(heartbeat.machine());
        if (machine == null || machine.bindings().isEmpty()) {
            return false;
        }
        // Fencing is overdue only after a whole lease, because responses can reach healthy workers too late shortly
        // after a failover.
        boolean isFencingOverdue = !fencingTokens.contains(heartbeat.fencingToken())
                && machine.fencing().isOverdue(loop.nanos(), workerLeaseNanos);
        return isFencingOverdue || (machine.isTerminating() && machine.awaitsAcknowledgement());
    }
}
