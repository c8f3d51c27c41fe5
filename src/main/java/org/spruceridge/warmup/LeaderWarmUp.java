package org.spruceridge.warmup;

import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.Loop;

/**
 * Goes through a leader's code while this node follows, so that the virtual machine has compiled it when the node is
 * elected: interpreted, it takes ten to twenty times as long, just when every worker asks for the new leader.
 *
 * <p>It works on a {@link SyntheticLeader} of its own and on nothing else, sends nothing, is bounded in steps, takes a small
 * share of the processor, and makes way for any request that waits.
 */
public final class LeaderWarmUp {
    /** Enough for every path to pass the compiler's threshold of 200 calls. */
    static final int STEPS = 240;

    /** Between two steps there is this many times what the last has cost. */
    private static final long COSTS_APART = 4;

    private static final long LEAST_SPACING = Durations.millis(50);

    private final Loop loop;
    private final CancellationScope scope;
    private final Settings settings;
    private final Policy policy;
    private SyntheticLeader leader;
    private boolean started;
    private int steps;

    /** Steps run on {@code loop}; settings and policy say how large a leader's records and limits are. */
    public LeaderWarmUp(Loop loop, Settings settings, Policy policy) {
        this.loop = loop;
        this.scope = new CancellationScope(loop);
        this.settings = settings;
        this.policy = policy;
    }

    /** Begins, the first time that it is called. */
    public void start() {
        if (!started && !settings.teams().isEmpty()) {
            started = true;
            scope.after(LEAST_SPACING, this::next);
        }
    }

    /** Ends it for good, as when this node is elected. */
    public void stop() {
        started = true;
        leader = null;
        scope.close();
    }

    /** Steps that were taken so far. */
    int steps() {
        return steps;
    }

    private void next() {
        if (loop.busy()) {
            scope.after(LEAST_SPACING, this::next);
            return;
        }
        long begun = loop.nanos();
        if (leader == null) {
            leader = new SyntheticLeader(settings, policy);
        }
        leader.step();
        if (++steps < STEPS) {
            scope.after(Math.max(LEAST_SPACING, COSTS_APART * (loop.nanos() - begun)), this::next);
        } else {
            leader = null;
        }
    }
}
