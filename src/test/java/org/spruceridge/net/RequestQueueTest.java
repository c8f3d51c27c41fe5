package org.spruceridge.net;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.spruceridge.net.RequestQueue.Priority;
import org.spruceridge.sim.SimLoop;

/** With too little processor, heartbeats come before users, and nothing is done for those who wait no more. */
final class RequestQueueTest {
    private final SimLoop loop = new SimLoop();
    private final RequestQueue requestQueue = new RequestQueue(loop);
    private final List<String> done = new ArrayList<>();

    private final class Request implements RequestQueue.Work {
        private final String name;
        private final double costS;
        private boolean isAbandoned;

        Request(String name, double costS) {
            this.name = name;
            this.costS = costS;
        }

        @Override
        public void run() {
            done.add(name);
            loop.pass(costS);
        }

        @Override
        public void reject() {
            done.add("no " + name);
        }

        @Override
        public boolean isAbandoned() {
            return isAbandoned;
        }
    }

    @Test
    void withProcessorToSpareEachRequestIsTakenAtOnce() {
        for (int i = 0; i < 5; i++) {
            requestQueue.add(Priority.USER, new Request("user", 0.005));
            assertEquals(i + 1, done.size());
            loop.run(1);
        }
    }

    @Test
    void underOverloadHealthGoesBeforeHeartbeatsAndHeartbeatsBeforeUsers() {
        requestQueue.add(Priority.USER, new Request("first", 0.2));
        requestQueue.add(Priority.USER, new Request("user", 0.2));
        requestQueue.add(Priority.HEARTBEAT, new Request("heartbeat", 0.2));
        requestQueue.add(Priority.HEALTH, new Request("health", 0.01));
        loop.run(1);
        assertEquals(List.of("first", "health", "heartbeat", "user"), done);
    }

    @Test
    void expiredRequestsAreRejectedAndAbandonedOnesNotServed() {
        requestQueue.add(Priority.HEARTBEAT, new Request("first", 2));
        requestQueue.add(Priority.USER, new Request("user", 0.1));
        Request gone = new Request("gone", 0.1);
        requestQueue.add(Priority.HEARTBEAT, gone);
        requestQueue.add(Priority.HEARTBEAT, new Request("heartbeat", 2.5));
        gone.isAbandoned = true;
        loop.run(10);
        assertEquals(List.of("first", "no gone", "heartbeat", "no user"), done);
        loop.run(1);
        requestQueue.add(Priority.USER, new Request("later", 0.1));
        assertEquals("later", done.get(4), "all is as before");
    }
}
