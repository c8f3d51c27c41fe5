package org.spruceridge.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.spruceridge.net.Budget.Rank;
import org.spruceridge.sim.SimLoop;

/** Who goes first when there is more to ask than may be asked. */
final class BudgetTest {
    private final SimLoop loop = new SimLoop();
    private final Budget budget = new Budget(loop, 10, 4);
    private final List<String> ran = new ArrayList<>();

    private boolean submit(Rank rank, int changes, String name) {
        return budget.submit(rank, changes, () -> ran.add(name));
    }

    @Test
    void reportsGoBeforeDecisionsAndThoseBeforeSubmissions() {
        submit(Rank.DECISIONS, 4, "spends all");
        submit(Rank.SUBMISSIONS, 2, "submission");
        submit(Rank.DECISIONS, 2, "decision");
        submit(Rank.REPORTS, 2, "report");
        submit(Rank.RENEWAL, 0, "renewal");
        loop.run(2);
        assertEquals(List.of("spends all", "renewal", "report", "decision", "submission"), ran);
    }

    @Test
    void noMoreThanTheRateGoesOutInAnySecond() {
        for (int i = 0; i < 40; i++) {
            submit(Rank.REPORTS, 1, "r" + i);
        }
        assertEquals(4, ran.size());
        loop.run(1.01);
        assertEquals(8, ran.size());
    }

    @Test
    void aSubmissionThatWouldWaitLongIsTurnedAwayAtOnce() {
        submit(Rank.DECISIONS, 4, "spends all");
        assertTrue(submit(Rank.SUBMISSIONS, 2, "s1"));
        assertTrue(submit(Rank.SUBMISSIONS, 2, "s2"));
        assertTrue(submit(Rank.SUBMISSIONS, 2, "s3"));
        assertFalse(submit(Rank.SUBMISSIONS, 2, "s4"));
        assertTrue(submit(Rank.REPORTS, 2, "reports wait for their turn"));
    }
}
