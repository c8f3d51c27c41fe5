package org.spruceridge.election;

import java.util.Optional;
import java.util.function.Consumer;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Loop;
import org.spruceridge.state.StateClient;
import org.spruceridge.state.StateResult;

/**
 * A lease of the state service to which a leader key is attached. It counts as valid until a moment before the service
 * can let it expire, whatever the difference between the two clocks.
 */
final class LeaderLease {
    private final Loop loop;
    private final CancellationScope scope;
    private final StateClient state;
    private final LeaseTimes times;
    private final long leaseId;
    private long validUntilNanos;
    private boolean released;

    private LeaderLease(ElectionContext context, long leaseId, long sentAtNanos) {
        this.loop = context.loop();
        this.scope = context.scope();
        this.state = context.state();
        this.times = context.leaseTimes();
        this.leaseId = leaseId;
        this.validUntilNanos = times.validUntilNanos(sentAtNanos);
    }

    /** Creates a lease; the result is empty if the state service did not confirm it. */
    static void create(ElectionContext context, Consumer<Optional<LeaderLease>> done) {
        long sentAtNanos = context.loop().nanos();
        context.state()
                .createLease(context.leaseTimes().ttlMillis(), context.scope().guard(created -> {
                    if (created.isOk()) {
                        done.accept(Optional.of(new LeaderLease(context, created.value(), sentAtNanos)));
                    } else {
                        done.accept(Optional.empty());
                    }
                }));
    }

    long id() {
        return leaseId;
    }

    /** True while the lease certainly has not expired. */
    boolean isValid() {
        return loop.nanos() < validUntilNanos;
    }

    /** Renews the lease until it is released or has expired; {@code expired} runs in the second case. */
    void keepRenewed(Runnable expired) {
        scope.after(times.renewalIntervalNanos(), () -> renew(expired));
    }

    private void renew(Runnable expired) {
        if (released) {
            return;
        }
        state.renewLease(leaseId, times.renewalIntervalNanos(), scope.guard(renewed -> {
            if (released) {
                return;
            }
            if (renewed.outcome() == StateResult.Outcome.NOT_FOUND) {
                expired.run();
                return;
            }
            if (renewed.isOk()) {
                validUntilNanos = times.validUntilNanos(renewed.value());
            }
            long delayNanos = renewed.isOk() ? times.renewalIntervalNanos() : times.renewalRetryNanos();
            scope.after(delayNanos, () -> renew(expired));
        }));
    }

    /** Ends the renewals and leaves the lease to expire. */
    void release() {
        released = true;
    }

    /** Ends the renewals and the lease, and with it the leader key that is attached to it. */
    void revoke() {
        released = true;
        state.revokeLease(leaseId);
    }
}
