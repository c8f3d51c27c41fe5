package org.spruceridge.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.spruceridge.net.RequestQueue.Priority;
import org.spruceridge.sim.SimLoop;

/**
 * Under CPU overload, heartbeats are handled before users' requests. Requests whose sender no longer waits are not
 * handled.
 */
final class RequestQueueTest {
    private final SimLoop loop = new SimLoop();
    private final RequestQueue requestQueue = new RequestQueue(loop);
    private final List<String> outcomes = new ArrayList<>();

    private final class TestRequest implements RequestQueue.PendingRequest {
        private final String name;
        private final double costS;
        private boolean isAbandoned;

        TestRequest(String name, double costS) {
            this.name = name;
            this.costS = costS;
        }

        @Override
        public void run() {
            outcomes.add(name);
            loop.advanceClock(costS);
        }

        @Override
        public void reject() {
            outcomes.add("no " + name);
        }

        @Override
        public boolean isAbandoned() {
            return isAbandoned;
        }
    }

    @Test
    void requestWithoutOverloadIsHandledImmediately() {
        for (int i = 0; i < 5; i++) {
            requestQueue.add(Priority.USER, new TestRequest("user", 0.005));
            assertEquals(i + 1, outcomes.size());
            loop.run(1);
        }
    }

    @Test
    void overloadedQueueHandlesHealthChecksThenHeartbeatsThenUserRequests() {
        requestQueue.add(Priority.USER, new TestRequest("first", 0.2));
        requestQueue.add(Priority.USER, new TestRequest("user", 0.2));
        requestQueue.add(Priority.HEARTBEAT, new TestRequest("heartbeat", 0.2));
        requestQueue.add(Priority.HEALTH, new TestRequest("health", 0.01));
        loop.run(1);
        assertEquals(List.of("first", "health", "heartbeat", "user"), outcomes);
    }

    @Test
    void timedOutAndAbandonedRequestsAreRejectedUnhandled() {
        requestQueue.add(Priority.HEARTBEAT, new TestRequest("first", 2));
        requestQueue.add(Priority.USER, new TestRequest("user", 0.1));
        TestRequest abandoned = new TestRequest("gone", 0.1);
        requestQueue.add(Priority.HEARTBEAT, abandoned);
        requestQueue.add(Priority.HEARTBEAT, new TestRequest("heartbeat", 2.5));
        abandoned.isAbandoned = true;
        loop.run(10);
        assertEquals(List.of("first", "no gone", "heartbeat", "no user"), outcomes);
        loop.run(1);
        requestQueue.add(Priority.USER, new TestRequest("later", 0.1));
        assertEquals("later", outcomes.get(4), "a request must be handled immediately once the queue is empty");
    }
}
