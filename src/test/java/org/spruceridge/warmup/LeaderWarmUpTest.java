package org.spruceridge.warmup;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import org.junit.jupiter.api.Test;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.sim.Fixtures;
import org.spruceridge.sim.SimLoop;

/** The warm-up has a bounded number of steps, pauses while requests wait, can be stopped, and runs leader code. */
final class LeaderWarmUpTest {
    private static final Settings SETTINGS = Fixtures.settings(
            ImmutableMap.of("red", new Settings.Team("red", 0, 0, 0, 0)),
            new Settings.Workers(5, 22, 42),
            new Settings.State(200, 50, 8, 24),
            new Settings.Cloud(6, 10),
            new Settings.Resources(0.1, 142, 900));

    private final SimLoop loop = new SimLoop();
    private final LeaderWarmUp warmUp = new LeaderWarmUp(loop, SETTINGS, Policy.defaults());

    @Test
    void warmUpRunsAllStepsAndLeavesNoPendingTasks() {
        warmUp.start();
        warmUp.start();
        loop.run(120);
        assertEquals(LeaderWarmUp.TOTAL_STEPS, warmUp.completedStepCount());
        assertEquals(0, loop.pendingTaskCount());
    }

    @Test
    void warmUpPausesWhileRequestsWait() {
        loop.setBusy(true);
        warmUp.start();
        loop.run(60);
        assertEquals(0, warmUp.completedStepCount());
        loop.setBusy(false);
        loop.run(120);
        assertEquals(LeaderWarmUp.TOTAL_STEPS, warmUp.completedStepCount());
    }

    @Test
    void stoppedWarmUpDoesNotStartAgain() {
        warmUp.start();
        loop.run(1);
        warmUp.stop();
        int steps = warmUp.completedStepCount();
        assertTrue(steps > 0, "the warm-up must run at least one step before it is stopped");
        warmUp.start();
        loop.run(60);
        assertEquals(steps, warmUp.completedStepCount());
        assertEquals(0, loop.pendingTaskCount());
    }

    /**
     * Guards against a warm-up that skips leader code. Completed tasks show that the leader handled heartbeats and that
     * tasks were bound, recorded, started and ended. More than 200 such tasks show that jobs finished, because the jobs
     * that are open at a time have only 192 tasks.
     */
    @Test
    void syntheticLeaderCompletesTasks() {
        SyntheticLeader leader = new SyntheticLeader(SETTINGS, Policy.defaults());
        for (int i = 0; i < LeaderWarmUp.TOTAL_STEPS; i++) {
            leader.step();
        }
        assertTrue(
                leader.completedTaskCount() > 200,
                "more than 200 tasks must complete, but completed: " + leader.completedTaskCount());
    }
}
