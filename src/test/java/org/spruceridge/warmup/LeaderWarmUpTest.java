package org.spruceridge.warmup;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import org.junit.jupiter.api.Test;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.sim.Fixtures;
import org.spruceridge.sim.SimLoop;

/** The warm-up is bounded, makes way for requests, ends when told to, and does a leader's work on its own data. */
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
    void itEndsAfterItsStepsAndLeavesNothingPending() {
        warmUp.start();
        warmUp.start();
        loop.run(120);
        assertEquals(LeaderWarmUp.TOTAL_STEPS, warmUp.stepsTaken());
        assertEquals(0, loop.pending());
    }

    @Test
    void itMakesWayWhileRequestsWait() {
        loop.busy(true);
        warmUp.start();
        loop.run(60);
        assertEquals(0, warmUp.stepsTaken());
        loop.busy(false);
        loop.run(120);
        assertEquals(LeaderWarmUp.TOTAL_STEPS, warmUp.stepsTaken());
    }

    @Test
    void itEndsForGoodWhenToldTo() {
        warmUp.start();
        loop.run(1);
        warmUp.stop();
        int steps = warmUp.stepsTaken();
        assertTrue(steps > 0, "it had begun");
        warmUp.start();
        loop.run(60);
        assertEquals(steps, warmUp.stepsTaken());
        assertEquals(0, loop.pending());
    }

    /** Otherwise it warms up nothing: heartbeats are handled, tasks bound, recorded, started and ended, and jobs finish. */
    @Test
    void itDoesAllThatALeaderDoes() {
        SyntheticLeader leader = new SyntheticLeader(SETTINGS, Policy.defaults());
        for (int i = 0; i < LeaderWarmUp.TOTAL_STEPS; i++) {
            leader.step();
        }
        assertTrue(leader.completedTasks() > 200, "tasks completed: " + leader.completedTasks());
    }
}
