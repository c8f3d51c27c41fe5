package org.spruceridge.scenario;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.spruceridge.config.Address;
import org.spruceridge.net.HttpCall;
import org.spruceridge.sim.SimJobs;
import org.spruceridge.sim.SimNet.Delivery;
import org.spruceridge.sim.SimWorker;
import org.spruceridge.sim.SimulatedCluster;

/**
 * Start commands that are delayed or repeated. The simulated cluster fails a scenario as soon as a task runs on two
 * machines at the same time or a team exceeds its quota.
 */
final class StartCommandScenarioTest {
    private static final String DELAYED_BY_COMMAND = "j-000003/0";
    private static final String DELAYED_IN_RESPONSE = "j-000004/0";

    private final SimulatedCluster cluster = new SimulatedCluster(3);
    private SimWorker worker;
    private int heartbeatCount;
    private boolean isStartInDelayedResponse;

    /**
     * Starts two machines. Job 1 fills one machine; job 2 fills half of the other, the machine of {@code worker}. The
     * cloud has no capacity for a third machine.
     */
    @BeforeEach
    void startTwoMachines() {
        cluster.cloud.limitCapacity(2);
        cluster.awaitLeader(10);
        cluster.submit(SimJobs.array(1, 1).put("cpus", 8.0).put("expectS", 100.0));
        cluster.await(() -> cluster.runningTasks().size() == 1, 40);
        cluster.submit(SimJobs.array(2, 1).put("expectS", 60.0));
        cluster.await(() -> cluster.runningTasks().size() == 2, 40);
        worker = cluster.cloud.workers().get(1);
        cluster.loop.run(3); // from now on, the worker sends only periodic heartbeats
    }

    /**
     * Guards against a task that runs on two machines. The response to a heartbeat starts the task and is delayed.
     * Meanwhile the result of a direct command arrives, which is newer than the heartbeat and does not list the task.
     */
    @Test
    void resultOfDirectCommandThatOvertakesHeartbeatResponseReleasesNoTask() {
        delayStartInHeartbeatResponse();
        cluster.cancel(cluster.leader(), "j-000001"); // the other machine now has capacity for the task
        worker.announceInterruption(60);
        cluster.await(() -> cluster.runningTasks().containsKey(DELAYED_BY_COMMAND), 10);
        cluster.await(() -> cluster.runningTasks().containsKey(DELAYED_IN_RESPONSE), 10);
        cluster.loop.run(5); // the delayed response has arrived
        cluster.verifyRecovery(150);
    }

    /**
     * Guards against a team that exceeds its quota. The response to a heartbeat starts a task and is delayed, and the
     * job of the task is cancelled. The result of a direct command that does not list the task must not free the
     * task's share of the quota.
     */
    @Test
    void cancelledStartInDelayedHeartbeatResponseCountsAgainstQuota() {
        delayStartInHeartbeatResponse();
        cluster.submit(SimJobs.array(5, 1).put("cpus", 2.0));
        cluster.cancel(cluster.leader(), "j-000004");
        cluster.await(() -> cluster.poll("j-000005").equals("done"), 60);
        cluster.verifyRecovery(150);
    }

    /**
     * Submits jobs 3 and 4, which use up the quota. The direct command that starts the task of job 3 is delayed. The
     * task of job 4 is therefore started in the response to a heartbeat. Returns once that response is sent, which
     * arrives after the result of the direct command.
     */
    private void delayStartInHeartbeatResponse() {
        cluster.net.injectFaults(this::delayStarts);
        int heartbeatsBefore = heartbeatCount;
        cluster.await(() -> heartbeatCount > heartbeatsBefore, 5);
        cluster.loop.run(0.6);
        cluster.submit(SimJobs.array(3, 1).put("cpus", 2.0).put("expectS", 30.0));
        cluster.loop.run(0.5);
        cluster.submit(SimJobs.array(4, 1).put("cpus", 2.0).put("expectS", 30.0));
        cluster.await(() -> cluster.hasBinding("j-000004"), 1);
        isStartInDelayedResponse = true;
        int heartbeatsUntilBound = heartbeatCount;
        cluster.await(() -> heartbeatCount > heartbeatsUntilBound, 2);
        assertEquals(2, cluster.runningTasks().size(), "the direct command and the response must still be in transit");
    }

    private Delivery delayStarts(String from, Address to, HttpCall call) {
        if (from.equals(worker.name())) {
            heartbeatCount++;
            boolean isDelayed = isStartInDelayedResponse;
            isStartInDelayedResponse = false;
            return isDelayed ? Delivery.RESPONSE_DELAYED : Delivery.DELIVERED;
        }
        boolean isStartOfJob3 =
                new String(call.body(), UTF_8).contains("\"verb\":\"start\",\"part\":\"" + DELAYED_BY_COMMAND);
        return isStartOfJob3 && to.equals(SimWorker.address(worker.name()))
                ? Delivery.REQUEST_DELAYED
                : Delivery.DELIVERED;
    }
}
