package org.spruceridge.story;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.spruceridge.sim.World;

/** Nobody starves: the largest jobs and tasks begin too, whatever else is asked for. */
final class FairnessStoriesTest {
    private final World world = new World(3);

    @Test
    void theLargestJobBeginsUnderAStreamOfSmallUrgentOnes() {
        world.until(() -> world.leader() != null, 10);
        // Two machines' worth of room, and small jobs of a higher rank that ask for more than that all the time.
        int number = 100;
        for (int i = 0; i < 12; i++) {
            submitUrgent(++number);
        }
        world.until(() -> world.running().size() == 4, 40);
        world.submit(World.job(1, 30).put("rank", "best_effort").put("expectS", 60.0));
        long submitted = world.loop.nanos();
        while (world.starts().stream().noneMatch(s -> s.startsWith("j-000001"))) {
            submitUrgent(++number);
            world.loop.run(1.5);
            assertTrue(world.loop.nanos() - submitted < 240e9, "the largest too must begin within four minutes");
        }
    }

    @Test
    void aLargeTaskBeginsThoughSmallOnesOfItsTeamFillItsLimit() {
        world.until(() -> world.leader() != null, 10);
        int number = 100;
        for (int i = 0; i < 32; i++) {
            submitSmall(++number);
        }
        world.until(() -> world.running().size() == (int) World.TEAM_CPUS, 40);
        world.submit(World.job(1, 2).put("cpus", 8.0).put("expectS", 10.0));
        long submitted = world.loop.nanos();
        while (world.starts().stream().noneMatch(s -> s.startsWith("j-000001"))) {
            submitSmall(++number);
            world.loop.run(0.4);
            assertTrue(world.loop.nanos() - submitted < 240e9, "it must begin within four minutes");
        }
    }

    /** Workers' reports come before decisions; but a leader that is never idle must decide all the same. */
    @Test
    void decisionsWaitWhileRequestsWaitButNotForLong() {
        world.until(() -> world.leader() != null, 10);
        submitSmall(1);
        world.until(() -> world.running().size() == 1, 40);
        submitSmall(2);
        world.until(() -> started("j-000002"), 1);
        world.loop.busy(true);
        submitSmall(3);
        world.loop.run(0.08 * World.LEASE_S);
        assertFalse(started("j-000003"), "reports come first");
        world.until(() -> started("j-000003"), 0.1 * World.LEASE_S);
    }

    private boolean started(String job) {
        return world.starts().stream().anyMatch(s -> s.startsWith(job));
    }

    private void submitSmall(int number) {
        world.submit(World.job(number, 1).put("cpus", 1.0).put("memGb", 1.0).put("expectS", 8.0));
    }

    private void submitUrgent(int number) {
        world.submit(
                World.job(number, 1).put("rank", "high").put("expectS", 8.0).put("dueS", 40.0));
    }
}
