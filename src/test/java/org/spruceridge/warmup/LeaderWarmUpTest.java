package org.spruceridge.warmup;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import org.junit.jupiter.api.Test;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.sim.Fixtures;
import org.spruceridge.sim.SimLoop;

/** The warm-up is bounded, pauses for requests, can be stopped, and runs the leader's code on synthetic data. */
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
    void warmUpEndsAfterAllStepsWithNothingPending() {
        warmUp.start();
        warmUp.start();
        loop.run(120);
        assertEquals(LeaderWarmUp.TOTAL_STEPS, warmUp.stepsTaken());
        assertEquals(0, loop.pendingTaskCount());
    }

    @Test
    void warmUpPausesWhileRequestsWait() {
        loop.setBusy(true);
        warmUp.start();
        loop.run(60);
        assertEquals(0, warmUp.stepsTaken());
        loop.setBusy(false);
        loop.run(120);
        assertEquals(LeaderWarmUp.TOTAL_STEPS, warmUp.stepsTaken());
    }

    @Test
    void stoppedWarmUpDoesNotStartAgain() {
        warmUp.start();
        loop.run(1);
        warmUp.stop();
        int steps = warmUp.stepsTaken();
        assertTrue(steps > 0, "the warm-up ran no step before it was stopped");
        warmUp.start();
        loop.run(60);
        assertEquals(steps, warmUp.stepsTaken());
        assertEquals(0, loop.pendingTaskCount());
    }

    /**
     * Guards against a warm-up that skips leader code: completed tasks show that heartbeats were handled and that tasks
     * were bound, recorded, started and ended, so that jobs finished.
     */
    @Test
    void syntheticLeaderCompletesTasksOfJobs() {
        SyntheticLeader leader = new SyntheticLeader(SETTINGS, Policy.defaults());
        for (int i = 0; i < LeaderWarmUp.TOTAL_STEPS; i++) {
            leader.step();
        }
        assertTrue(leader.completedTasks() > 200, "tasks completed: " + leader.completedTasks());
    }
}
