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
    private final Budget budget = new Budget(loop, 10, 4, 2);
    private final List<String> ran = new ArrayList<>();

    private boolean submit(Rank rank, int changes, String name) {
        return budget.submit(rank, changes, () -> ran.add(name));
    }

    @Test
    void reportsGoBeforeDecisionsAndThoseBeforeSubmissions() {
        for (int i = 0; i < 10; i++) {
            submit(Rank.DECISIONS, 0, "spends all requests");
        }
        ran.clear();
        submit(Rank.SUBMISSIONS, 2, "submission");
        submit(Rank.DECISIONS, 2, "decision");
        submit(Rank.REPORTS, 2, "report");
        submit(Rank.RENEWAL, 0, "renewal");
        loop.run(1);
        assertEquals(List.of("renewal", "report", "decision", "submission"), ran);
    }

    @Test
    void readsDoNotWaitForChangesNorUsersForTheLeadersWrites() {
        submit(Rank.DECISIONS, 4, "spends all changes");
        submit(Rank.REPORTS, 2, "report");
        submit(Rank.DECISIONS, 1, "decision");
        submit(Rank.SUBMISSIONS, 0, "poll");
        submit(Rank.SUBMISSIONS, 2, "submission");
        assertEquals(List.of("spends all changes", "poll", "submission"), ran);
        loop.run(1);
        assertEquals(List.of("report", "decision"), ran.subList(3, 5), "the smaller one does not slip past");
    }

    @Test
    void whatIsNotUsedOfAReservationIsGivenBack() {
        budget.submit(Rank.DECISIONS, 4, () -> 1);
        submit(Rank.DECISIONS, 3, "fits");
        assertEquals(List.of("fits"), ran);
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
        assertTrue(submit(Rank.SUBMISSIONS, 4, "spends the users' share"));
        assertTrue(submit(Rank.SUBMISSIONS, 2, "s1"));
        assertTrue(submit(Rank.SUBMISSIONS, 2, "s2"));
        assertFalse(submit(Rank.SUBMISSIONS, 2, "s3"));
        assertTrue(submit(Rank.REPORTS, 2, "reports wait for their turn"));
    }
}
