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

/** Work that exceeds the rates runs later in order of priority, and users' submissions have a separate rate. */
final class RateLimiterTest {
    private final SimLoop loop = new SimLoop();
    private final RateLimiter limiter = new RateLimiter(loop, 10, 4, 2);
    private final List<String> executed = new ArrayList<>();

    @BeforeEach
    void setUserBurst() {
        limiter.setRates(10, 4, 2, 4);
    }

    private boolean submit(Priority priority, int changes, String name) {
        return limiter.submit(priority, changes, () -> executed.add(name));
    }

    @Test
    void queuedWorkRunsInPriorityOrder() {
        for (int i = 0; i < 10; i++) {
            submit(Priority.SCHEDULING, 0, "spends all requests");
        }
        executed.clear();
        submit(Priority.SUBMISSIONS, 2, "submission");
        submit(Priority.SCHEDULING, 2, "scheduling");
        submit(Priority.HEARTBEATS, 2, "heartbeat");
        submit(Priority.LEASE_RENEWAL, 0, "renewal");
        loop.run(1);
        assertEquals(List.of("renewal", "heartbeat", "scheduling", "submission"), executed);
    }

    @Test
    void readsAndSubmissionsDoNotWaitForLeaderWrites() {
        submit(Priority.SCHEDULING, 4, "spends all changes");
        submit(Priority.HEARTBEATS, 2, "heartbeat");
        submit(Priority.SCHEDULING, 1, "scheduling");
        submit(Priority.SUBMISSIONS, 0, "poll");
        submit(Priority.SUBMISSIONS, 2, "submission");
        assertEquals(List.of("spends all changes", "poll", "submission"), executed);
        loop.run(1);
        assertEquals(
                List.of("heartbeat", "scheduling"),
                executed.subList(3, 5),
                "smaller work of a lower priority must not overtake work that waits for change tokens");
    }

    @Test
    void unusedChangeTokensAreReturned() {
        limiter.submit(Priority.SCHEDULING, 4, () -> 1);
        submit(Priority.SCHEDULING, 3, "fits");
        assertEquals(List.of("fits"), executed);
    }

    @Test
    void changesPerSecondStayWithinRate() {
        for (int i = 0; i < 40; i++) {
            submit(Priority.HEARTBEATS, 1, "r" + i);
        }
        assertEquals(4, executed.size());
        loop.run(1.01);
        assertEquals(8, executed.size());
    }

    /**
     * Users submit in a burst to a node that was idle. Tokens taken by a burst are not available to the next burst, and
     * a reduced capacity limits the next burst.
     */
    @Test
    void submissionBurstRunsImmediatelyUpToCapacity() {
        limiter.setRates(100, 4, 1, 8);
        for (int i = 0; i < 5; i++) {
            submit(Priority.SUBMISSIONS, 2, "s" + i);
        }
        assertEquals(4, executed.size());
        limiter.setRates(100, 4, 1, 4);
        loop.run(20);
        executed.clear();
        for (int i = 0; i < 3; i++) {
            submit(Priority.SUBMISSIONS, 2, "t" + i);
        }
        assertEquals(2, executed.size());
    }

    @Test
    void submissionWithLongExpectedWaitIsRejectedImmediately() {
        assertTrue(submit(Priority.SUBMISSIONS, 4, "spends the users' share"));
        assertTrue(submit(Priority.SUBMISSIONS, 2, "s1"));
        assertTrue(submit(Priority.SUBMISSIONS, 2, "s2"));
        assertFalse(submit(Priority.SUBMISSIONS, 2, "s3"));
        assertTrue(submit(Priority.HEARTBEATS, 2, "queued heartbeat"));
    }
}
