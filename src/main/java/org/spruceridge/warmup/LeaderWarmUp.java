package org.spruceridge.warmup;

import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;

/**
 * Runs a leader's code while this node follows, so that the virtual machine has compiled it before the node is elected.
 * Interpreted code takes ten to twenty times as long, at the moment when every worker sends its heartbeat to the new
 * leader.
 *
 * <p>The work is done on a {@link SyntheticLeader} and touches nothing else of the node. It sends nothing, has a bounded
 * number of steps, uses a small share of the processor, and pauses while requests wait.
 */
public final class LeaderWarmUp {
    /** Enough for every path to pass the compiler's threshold of 200 calls. */
    static final int TOTAL_STEPS = 240;

    /** The pause after a step is this many times as long as the step took. */
    private static final long PAUSE_PER_STEP_DURATION = 4;

    private static final long MIN_PAUSE_NANOS = Durations.millis(50);

    private final Loop loop;
    private final CancellationScope scope;
    private final Settings settings;
    private final Policy policy;
    private SyntheticLeader leader;
    private boolean startedOrStopped;
    private int stepsTaken;

    /** Steps run on {@code loop}; settings and policy determine the limits of the synthetic leader. */
    public LeaderWarmUp(Loop loop, Settings settings, Policy policy) {
        this.loop = loop;
        this.scope = new CancellationScope(loop);
        this.settings = settings;
        this.policy = policy;
    }

    /** Starts the warm-up at the first call; later calls do nothing. */
    public void start() {
        if (!startedOrStopped && !settings.teams().isEmpty()) {
            startedOrStopped = true;
            scope.after(MIN_PAUSE_NANOS, this::runStep);
        }
    }

    /** Ends the warm-up for good, for instance because this node is elected. */
    public void stop() {
        startedOrStopped = true;
        leader = null;
        scope.close();
    }

    /** The number of steps so far. */
    int stepsTaken() {
        return stepsTaken;
    }

    private void runStep() {
        if (loop.busy()) {
            scope.after(MIN_PAUSE_NANOS, this::runStep);
            return;
        }
        long startedAtNanos = loop.nanos();
        if (leader == null) {
            leader = new SyntheticLeader(settings, policy);
        }
        leader.step();
        if (++stepsTaken < TOTAL_STEPS) {
            long stepNanos = loop.nanos() - startedAtNanos;
            scope.after(Math.max(MIN_PAUSE_NANOS, PAUSE_PER_STEP_DURATION * stepNanos), this::runStep);
        } else {
            leader = null;
        }
    }
}
