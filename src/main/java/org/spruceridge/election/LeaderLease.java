package org.spruceridge.election;

import java.util.Optional;
import java.util.function.Consumer;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Loop;
import org.spruceridge.state.StateClient;
import org.spruceridge.state.StateResult;

/**
 * A lease of the state service to which the leader key is attached. This node treats the lease as expired shortly
 * before the state service can expire it, even if the clocks of the node and of the service drift apart.
 */
final class LeaderLease {
    private final Loop loop;
    private final CancellationScope scope;
    private final StateClient state;
    private final LeaseTimes times;
    private final long leaseId;
    private long validUntilNanos;
    private boolean renewalsStopped;

    private LeaderLease(ElectionContext context, long leaseId, long sentAtNanos) {
        this.loop = context.loop();
        this.scope = context.scope();
        this.state = context.state();
        this.times = context.leaseTimes();
        this.leaseId = leaseId;
        this.validUntilNanos = times.validUntilNanos(sentAtNanos);
    }

    /** Creates a lease. {@code onCreated} receives empty if the state service did not confirm the creation. */
    static void create(ElectionContext context, Consumer<Optional<LeaderLease>> onCreated) {
        long sentAtNanos = context.loop().nanos();
        context.state()
                .createLease(context.leaseTimes().ttlMillis(), context.scope().guard(leaseResult -> {
                    if (leaseResult.isOk()) {
                        onCreated.accept(Optional.of(new LeaderLease(context, leaseResult.value(), sentAtNanos)));
                    } else {
                        onCreated.accept(Optional.empty());
                    }
                }));
    }

    long id() {
        return leaseId;
    }

    /** True while the lease is guaranteed not to have expired. */
    boolean isValid() {
        return loop.nanos() < validUntilNanos;
    }

    /**
     * Renews the lease periodically until {@link #stopRenewing} or {@link #revoke} is called. If the state service
     * reports that the lease has expired, the renewals end and {@code onExpired} runs.
     */
    void keepRenewed(Runnable onExpired) {
        scope.after(times.renewalIntervalNanos(), () -> renew(onExpired));
    }

    private void renew(Runnable onExpired) {
        if (renewalsStopped) {
            return;
        }
        state.renewLease(leaseId, times.renewalIntervalNanos(), scope.guard(renewalResult -> {
            if (renewalsStopped) {
                return;
            }
            if (renewalResult.outcome() == StateResult.Outcome.NOT_FOUND) {
                onExpired.run();
                return;
            }
            if (renewalResult.isOk()) {
                validUntilNanos = times.validUntilNanos(renewalResult.value());
            }
            long delayNanos = renewalResult.isOk() ? times.renewalIntervalNanos() : times.renewalRetryNanos();
            scope.after(delayNanos, () -> renew(onExpired));
        }));
    }

    /** Stops renewing the lease without revoking it; the lease then expires in the state service. */
    void stopRenewing() {
        renewalsStopped = true;
    }

    /** Stops renewing the lease and revokes it, which also deletes the leader key attached to it. */
    void revoke() {
        renewalsStopped = true;
        state.revokeLease(leaseId);
    }
}
