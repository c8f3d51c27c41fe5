package org.spruceridge.reconciliation;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.spruceridge.cluster.Machine;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;
import org.spruceridge.term.FencingTokens;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.worker.WorkerHeartbeat;
import org.spruceridge.worker.WorkerHeartbeat.TaskStatus;

/**
 * Raises the fencing token of a worker, so that the worker rejects direct commands that were sent before. This is needed
 * in three cases. In the first case, a heartbeat lists exited attempts that the worker must not forget yet, because a
 * duplicate of their direct start command could start them again. Once the worker has accepted the higher token, it may
 * forget the attempts. This bounds the length of heartbeats. In the second case, a direct start got no response. Once the
 * worker has accepted the higher token, the start can no longer be executed. In the third case, the worker has lost its
 * state in a restart, and with it the attempts that it must not start again.
 */
final class FencingTokenRaiser {
    /**
     * The minimum time between two raises, in leases. A worker announces a higher token in an extra heartbeat at most
     * once per half of a lease.
     */
    private static final double RAISE_INTERVAL_LEASES = 0.5;

    /** With this number of exited attempts in one heartbeat, the token is raised without waiting for the interval. */
    private static final int MAX_REPEATABLE_EXITED_ATTEMPTS = 16;

    private final Loop loop;
    private final FencingTokens fencingTokens;
    private final long raiseIntervalNanos;

    FencingTokenRaiser(LeaderContext context, FencingTokens fencingTokens) {
        this.loop = context.loop();
        this.fencingTokens = fencingTokens;
        this.raiseIntervalNanos = Durations.nanos(context.settings().workers().leaseS() * RAISE_INTERVAL_LEASES);
    }

    /** Raises the token if it is time to. {@code unboundStatuses} are those of the heartbeat that match no binding. */
    void raiseIfDue(Machine machine, WorkerHeartbeat heartbeat, List<TaskStatus> unboundStatuses) {
        boolean mustRaise = machine.startCommands().hasUncertainStart() || hasLostAttempt(machine, heartbeat);
        if (unboundStatuses.isEmpty() && !mustRaise) {
            return;
        }
        if (heartbeat.fencingToken() != fencingTokens.current(machine)) {
            return; // the worker has not accepted the previous raise yet
        }
        if (mustRaise) {
            fencingTokens.raise(machine, loop.nanos());
            return;
        }
        long repeatableCount = unboundStatuses.stream()
                .filter(TaskStatus::hasExited)
                .filter(status -> machine.startCommands().isRepeatable(status.attempt()))
                .count();
        if (repeatableCount == 0) {
            return;
        }
        long now = loop.nanos();
        if (repeatableCount >= MAX_REPEATABLE_EXITED_ATTEMPTS
                || !machine.fencing().wasRaisedWithin(raiseIntervalNanos, now)) {
            fencingTokens.raise(machine, now);
        }
    }

    private static boolean hasLostAttempt(Machine machine, WorkerHeartbeat heartbeat) {
        if (!machine.startCommands().hasRepeatableStart()) {
            return false;
        }
        Set<Long> listedAttempts = new HashSet<>();
        heartbeat.tasks().forEach(status -> listedAttempts.add(status.attempt()));
        return machine.startCommands().hasRepeatableStartMissingFrom(listedAttempts);
    }

    /**
     * Raises the token if a worker that has lost its state would, after a response with the current token, execute a
     * duplicate of a direct start. Such a worker begins with a lower token than it had accepted. A late copy of an old
     * heartbeat looks the same; then the raise is not needed, but harmless.
     *
     * @return false if the token must be raised but none is reserved yet; the worker must then get no response
     */
    boolean raiseIfStateWasLost(Machine machine, WorkerHeartbeat heartbeat) {
        boolean wasLost = machine.startCommands().isBelowAcceptedFencingToken(heartbeat.fencingToken())
                && machine.startCommands().canRepeatStartWith(fencingTokens.current(machine));
        return !wasLost || fencingTokens.raise(machine, loop.nanos());
    }
}
