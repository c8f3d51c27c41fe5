package org.spruceridge.net;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.spruceridge.net.RateLimiter.Priority;
import org.spruceridge.sim.SimLoop;

/** Who goes first when there is more to ask than may be asked. */
final class RateLimiterTest {
    private final SimLoop loop = new SimLoop();
    private final RateLimiter limiter = new RateLimiter(loop, 10, 4, 2);
    private final List<String> ran = new ArrayList<>();

    @BeforeEach
    void usersHaveABurst() {
        limiter.setRates(10, 4, 2, 4);
    }

    private boolean submit(Priority priority, int changes, String name) {
        return limiter.submit(priority, changes, () -> ran.add(name));
    }

    @Test
    void heartbeatsGoBeforeSchedulingAndSchedulingBeforeSubmissions() {
        for (int i = 0; i < 10; i++) {
            submit(Priority.SCHEDULING, 0, "spends all requests");
        }
        ran.clear();
        submit(Priority.SUBMISSIONS, 2, "submission");
        submit(Priority.SCHEDULING, 2, "scheduling");
        submit(Priority.HEARTBEATS, 2, "heartbeat");
        submit(Priority.LEASE_RENEWAL, 0, "renewal");
        loop.run(1);
        assertEquals(List.of("renewal", "heartbeat", "scheduling", "submission"), ran);
    }

    @Test
    void readsDoNotWaitForChangesNorUsersForTheLeadersWrites() {
        submit(Priority.SCHEDULING, 4, "spends all changes");
        submit(Priority.HEARTBEATS, 2, "heartbeat");
        submit(Priority.SCHEDULING, 1, "scheduling");
        submit(Priority.SUBMISSIONS, 0, "poll");
        submit(Priority.SUBMISSIONS, 2, "submission");
        assertEquals(List.of("spends all changes", "poll", "submission"), ran);
        loop.run(1);
        assertEquals(List.of("heartbeat", "scheduling"), ran.subList(3, 5), "the smaller one does not slip past");
    }

    @Test
    void whatIsNotUsedOfAReservationIsGivenBack() {
        limiter.submit(Priority.SCHEDULING, 4, () -> 1);
        submit(Priority.SCHEDULING, 3, "fits");
        assertEquals(List.of("fits"), ran);
    }

    @Test
    void noMoreThanTheRateGoesOutInAnySecond() {
        for (int i = 0; i < 40; i++) {
            submit(Priority.HEARTBEATS, 1, "r" + i);
        }
        assertEquals(4, ran.size());
        loop.run(1.01);
        assertEquals(8, ran.size());
    }

    /** Users come together to one node that was idle; what is lent to them at once is not lent again. */
    @Test
    void usersThatComeTogetherAreTakenAtOnce() {
        limiter.setRates(100, 4, 1, 8);
        for (int i = 0; i < 5; i++) {
            submit(Priority.SUBMISSIONS, 2, "s" + i);
        }
        assertEquals(4, ran.size());
        limiter.setRates(100, 4, 1, 4);
        loop.run(20);
        ran.clear();
        for (int i = 0; i < 3; i++) {
            submit(Priority.SUBMISSIONS, 2, "t" + i);
        }
        assertEquals(2, ran.size());
    }

    @Test
    void aSubmissionThatWouldWaitLongIsTurnedAwayAtOnce() {
        assertTrue(submit(Priority.SUBMISSIONS, 4, "spends the users' share"));
        assertTrue(submit(Priority.SUBMISSIONS, 2, "s1"));
        assertTrue(submit(Priority.SUBMISSIONS, 2, "s2"));
        assertFalse(submit(Priority.SUBMISSIONS, 2, "s3"));
        assertTrue(submit(Priority.HEARTBEATS, 2, "heartbeats wait for their turn"));
    }
}
