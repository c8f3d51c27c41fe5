package org.spruceridge.warmup;

import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;

/**
 * Runs the leader's code while this node is a follower, so that the JVM compiles the code before the node is elected.
 * Interpreted code takes ten to twenty times as long. A newly elected leader would run interpreted code just when all
 * workers send their heartbeats to this leader.
 *
 * <p>The warm-up runs a {@link SyntheticLeader}, which shares no state with the rest of the node. The warm-up sends
 * nothing, has a bounded number of steps, uses a small share of the CPU, and pauses while requests wait.
 */
public final class LeaderWarmUp {
    /** The number of steps, enough for every code path to exceed the JIT compiler's threshold of 200 calls. */
    static final int TOTAL_STEPS = 240;

    /** The ratio of the pause after a step to the duration of the step. */
    private static final long PAUSE_TO_STEP_RATIO = 4;

    private static final long MIN_PAUSE_NANOS = Durations.millis(50);

    private final Loop loop;
    private final CancellationScope scope;
    private final Settings settings;
    private final Policy policy;
    private SyntheticLeader leader;
    private boolean startedOrStopped;
    private int completedStepCount;

    /** Creates a warm-up that runs on {@code loop}; settings and policy configure the synthetic leader. */
    public LeaderWarmUp(Loop loop, Settings settings, Policy policy) {
        this.loop = loop;
        this.scope = new CancellationScope(loop);
        this.settings = settings;
        this.policy = policy;
    }

    /** Starts the warm-up. Does nothing if it was started or stopped before, or if the settings have no teams. */
    public void start() {
        if (!startedOrStopped && !settings.teams().isEmpty()) {
            startedOrStopped = true;
            scope.after(MIN_PAUSE_NANOS, this::runStep);
        }
    }

    /** Stops the warm-up permanently. Called when this node is elected or stopped. */
    public void stop() {
        startedOrStopped = true;
        leader = null;
        scope.close();
    }

    /** The number of steps run so far. */
    int completedStepCount() {
        return completedStepCount;
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
        if (++completedStepCount < TOTAL_STEPS) {
            long stepNanos = loop.nanos() - startedAtNanos;
            scope.after(Math.max(MIN_PAUSE_NANOS, PAUSE_TO_STEP_RATIO * stepNanos), this::runStep);
        } else {
            leader = null;
        }
    }
}
