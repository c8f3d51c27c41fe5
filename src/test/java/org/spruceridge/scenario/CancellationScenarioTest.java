package org.spruceridge.scenario;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.spruceridge.net.Response;
import org.spruceridge.sim.SimNet.Fate;
import org.spruceridge.sim.SimWorker;
import org.spruceridge.sim.SimulatedCluster;

/**
 * Users cancel while something is out of order. The simulated cluster fails each scenario in which a task of a cancelled
 * job is on a machine for longer than {@code cancel_s}.
 */
final class CancellationScenarioTest {
    private static final String LONG = "j-000001";

    private SimulatedCluster cluster = new SimulatedCluster(3);

    /** A leader, and two tasks of a job that runs for ten minutes. */
    private void longJobRuns() {
        cluster.until(() -> cluster.leader() != null, 10);
        cluster.submit(SimulatedCluster.job(1, 2).put("expectS", 600.0));
        cluster.until(() -> cluster.running().size() == 2, 40);
    }

    private static boolean asksForOpenJobs(String target) {
        return target.startsWith("/follow?starts=open/") || target.startsWith("/store?starts=open/");
    }

    @Test
    void cancellationMeetsDeadlineWhenStateServiceRefusesLeaderThenFails() {
        for (double before : new double[] {0.1, 1, 2, 6}) {
            for (double outage :
                    new double[] {6, 8, 13, 15, SimulatedCluster.CANCEL_S - 1, SimulatedCluster.CANCEL_S + 15}) {
                cluster = new SimulatedCluster(3);
                longJobRuns();
                cluster.submit(SimulatedCluster.job(2, 2).put("expectS", 20.0));
                cluster.net.refuse(cluster.leader(), before + 12);
                cluster.loop.run(before / 2);
                assertEquals("cancelled", cluster.cancel(cluster.follower(), LONG));
                cluster.loop.run(before / 2);
                cluster.state.outage(outage);
                cluster.loop.run(Math.max(outage, SimulatedCluster.CANCEL_S));
                cluster.settle(120);
            }
        }
    }

    @Test
    void cancellationMeetsDeadlineAcrossTwoRefusalsAndOutages() {
        longJobRuns();
        cluster.submit(SimulatedCluster.job(2, 1).put("expectS", 30.0));
        cluster.net.refuse(cluster.leader(), 10);
        cluster.loop.run(1);
        assertEquals("cancelled", cluster.cancel(cluster.follower(), LONG));
        cluster.state.outage(SimulatedCluster.LEASE_S - 1);
        cluster.loop.run(SimulatedCluster.LEASE_S);
        String leader = cluster.leader() == null ? cluster.follower() : cluster.leader();
        cluster.net.refuse(leader, 10);
        cluster.loop.run(1);
        cluster.state.outage(SimulatedCluster.CANCEL_S + 5);
        cluster.loop.run(SimulatedCluster.CANCEL_S + 5);
        cluster.settle(120);
    }

    @Test
    void stuckWatchWithWorkingLeaseRenewalsLosesNoTask() {
        longJobRuns();
        cluster.submit(SimulatedCluster.job(2, 1).put("expectS", 60.0));
        cluster.until(() -> cluster.running().size() == 3, 20);
        String leader = cluster.leader();
        cluster.cutPeers(leader);
        cluster.net.weather((from, to, call) ->
                from.equals(leader) && call.target().startsWith("/follow?starts=open/") ? Fate.LOST : Fate.DELIVERED);
        cluster.loop.run(26); // whatever was asked before is answered
        assertEquals("cancelled", cluster.cancel(cluster.follower(), LONG));
        cluster.loop.run(SimulatedCluster.CANCEL_S);
        assertEquals(leader, cluster.leader());
        cluster.settle(60);
        assertEquals(3, cluster.starts().size(), "no lease ran out, for a listing tells as well");
    }

    @Test
    void leaderWithStaleCancellationViewAnswersNoWorkers() {
        longJobRuns();
        String leader = cluster.leader();
        cluster.cutPeers(leader);
        cluster.loop.run(5);
        cluster.net.weather(
                (from, to, call) -> from.equals(leader) && asksForOpenJobs(call.target()) ? Fate.LOST : Fate.DELIVERED);
        cluster.loop.run(3); // what was asked before is answered
        assertEquals("cancelled", cluster.cancel(cluster.follower(), LONG));
        // Renewals pass all the time, so that the grant alone would let it answer for ever.
        cluster.loop.run(SimulatedCluster.CANCEL_S + 1);
        assertEquals(leader, cluster.leader());
        assertTrue(cluster.running().isEmpty());
        cluster.settle(60);
    }

    @Test
    void newLeaderDoesNotKeepCancelledTasksWhileReadingState() {
        for (String unread : List.of("open/", "parts/", "bound/")) {
            cluster = new SimulatedCluster(3);
            longJobRuns();
            String old = cluster.leader();
            cluster.cutPeers(old);
            cluster.net.refuse(old, 60);
            cluster.loop.run(1);
            String other = cluster.follower();
            assertEquals("cancelled", cluster.cancel(other, LONG));
            cluster.net.weather((from, to, call) ->
                    call.target().startsWith("/store?starts=" + unread) ? Fate.LOST : Fate.DELIVERED);
            cluster.crash(old);
            cluster.loop.run(SimulatedCluster.CANCEL_S);
            assertTrue(cluster.running().isEmpty(), unread);
            cluster.settle(60);
        }
    }

    @Test
    void peerHeartbeatStopsCancelledTasksDuringStateServiceRefusal() {
        longJobRuns();
        cluster.net.refuse(cluster.leader(), 14);
        cluster.loop.run(0.1);
        assertEquals("cancelled", cluster.cancel(cluster.follower(), LONG));
        cluster.loop.run(2);
        assertTrue(cluster.running().isEmpty());
        cluster.settle(60);
    }

    @Test
    void hungMachineWithCancelledTaskIsDeletedDespiteRepeatedFailovers() {
        longJobRuns();
        SimWorker hung = cluster.cloud.workers().get(0);
        hung.frozen(true);
        assertEquals("cancelled", cluster.cancel(cluster.follower(), LONG));
        // Each leader has less time than the silence of a machine has to last.
        for (int i = 0; i < 6; i++) {
            cluster.crashLeader(1);
            cluster.loop.run(SimulatedCluster.CANCEL_S / 6);
        }
        assertFalse(cluster.cloud.workers().contains(hung));
        cluster.settle(60);
    }

    @Test
    void stopCommandIsRetriedToMachineThatCannotSendHeartbeats() {
        longJobRuns();
        List<String> mute = cluster.cloud.names();
        int[] lost = new int[1];
        cluster.net.weather((from, to, call) -> {
            boolean first = call.target().equals("/do") && lost[0]++ == 0;
            boolean cloud = to.host().equals("10.2.0.2");
            return mute.contains(from) || first || cloud ? Fate.LOST : Fate.DELIVERED;
        });
        assertEquals("cancelled", cluster.cancel(cluster.follower(), LONG));
        cluster.loop.run(SimulatedCluster.LEASE_S * 0.6);
        assertTrue(cluster.running().isEmpty(), "before their leases end");
        cluster.settle(60);
    }

    @Test
    void cancellationBeforeDuringAndAfterFailoverMeetsDeadline() {
        for (int step = 0; step < 12; step++) {
            cluster = new SimulatedCluster(3);
            longJobRuns();
            cluster.submit(SimulatedCluster.job(2, 2).put("expectS", 20.0));
            String old = cluster.leader();
            String other = cluster.follower();
            int cancelAt = step;
            for (int at = 0; at < 12; at++) {
                if (at == 3) {
                    cluster.crash(old);
                }
                if (at == cancelAt) {
                    cluster.cancel(other, LONG);
                }
                cluster.loop.run(0.8);
            }
            cluster.until(() -> cluster.cancel(other, LONG).equals("cancelled"), 20);
            cluster.loop.run(SimulatedCluster.CANCEL_S);
            cluster.settle(120);
        }
    }

    @Test
    void cancellationRacingLastTaskCompletionHasOneOutcome() {
        for (int step = 0; step < 24; step++) {
            cluster = new SimulatedCluster(3);
            cluster.until(() -> cluster.leader() != null, 10);
            cluster.submit(SimulatedCluster.job(1, 1).put("expectS", 5.0));
            cluster.until(() -> cluster.running().size() == 1, 40);
            cluster.loop.run(4.9);
            // From before the task's end to after its record, in steps of a message or two.
            cluster.loop.run(step * 0.005);
            String said = cluster.cancel(step % 2 == 0 ? cluster.follower() : cluster.leader(), LONG);
            assertTrue(said.equals("cancelled") || said.equals("done"), said);
            assertEquals(said, cluster.poll(LONG));
            assertEquals(
                    200,
                    cluster.submit(
                            cluster.follower(), SimulatedCluster.job(1, 1).put("expectS", 5.0)));
            assertEquals(said, cluster.cancel(cluster.follower(), LONG));
            cluster.settle(40);
        }
    }

    @Test
    void cancellationRacingTaskStartReleasesBindings() {
        cluster.until(() -> cluster.leader() != null, 10);
        cluster.submit(SimulatedCluster.job(1, 2).put("expectS", 600.0));
        cluster.until(() -> cluster.bound("j-000001"), 40);
        Response answer = cluster.ask(cluster.follower(), "POST", "/api/jobs/j-000001/abort", (JsonNode) null);
        assertEquals("cancelled", SimulatedCluster.stage(answer));
        cluster.loop.run(SimulatedCluster.CANCEL_S);
        assertTrue(cluster.running().isEmpty());
        assertFalse(cluster.bound("j-000001"), "bindings of a cancelled job must be released in the end");
        assertEquals("cancelled", cluster.poll("j-000001"));
    }

    @Test
    void cancellationDuringBindingTransactionDelaysNoOtherJob() {
        cluster.until(() -> cluster.leader() != null, 10);
        String leader = cluster.leader();
        cluster.net.weather((from, to, call) ->
                from.equals(leader) && call.target().equals("/txn") && new String(call.body()).contains("bound/")
                        ? Fate.HELD
                        : Fate.DELIVERED);
        cluster.submit(SimulatedCluster.job(1, 1));
        cluster.until(() -> cluster.net.held() > 0, 30);
        cluster.net.clear();
        Response answer = cluster.ask(cluster.follower(), "POST", "/api/jobs/j-000001/abort", (JsonNode) null);
        assertEquals("cancelled", SimulatedCluster.stage(answer));
        cluster.submit(SimulatedCluster.job(2, 1));
        cluster.until(() -> cluster.poll("j-000002").equals("done"), 60);
        assertEquals(1, cluster.starts().size());
        cluster.net.letGo();
        cluster.loop.run(SimulatedCluster.CANCEL_S);
        assertFalse(cluster.bound("j-000001"));
    }

    @Test
    void cancellationUnknownToLeaderPreventsTaskStart() {
        cluster.until(() -> cluster.leader() != null, 10);
        cluster.submit(SimulatedCluster.job(1, 1));
        // From here on the leader hears of no change of jobs in any way; the machine is still booting.
        String leader = cluster.leader();
        cluster.cutPeers(leader);
        cluster.net.weather((from, to, call) ->
                from.equals(leader) && call.target().contains("?starts=open/") ? Fate.LOST : Fate.DELIVERED);
        cluster.submit(SimulatedCluster.job(2, 1));
        cluster.loop.run(1);
        cluster.ask(cluster.follower(), "POST", "/api/jobs/j-000001/abort", (JsonNode) null);
        cluster.loop.run(20);
        assertTrue(cluster.starts().isEmpty(), "the commit of the binding must have failed on the job's guard");
    }

    @Test
    void cancellationWithoutLeaderIsExecutedByNextLeader() {
        cluster.until(() -> cluster.leader() != null, 10);
        cluster.submit(SimulatedCluster.job(1, 2).put("expectS", 600.0));
        cluster.until(() -> cluster.running().size() == 2, 40);
        cluster.crash(cluster.leader());
        Response answer = cluster.ask(cluster.follower(), "POST", "/api/jobs/j-000001/abort", (JsonNode) null);
        assertEquals("cancelled", SimulatedCluster.stage(answer));
        cluster.loop.run(SimulatedCluster.CANCEL_S);
        assertTrue(cluster.running().isEmpty());
    }

    @Test
    void pendingStartOfCancelledJobDeletesItsMachine() {
        cluster.until(() -> cluster.leader() != null, 10);
        cluster.submit(SimulatedCluster.job(1, 1).put("expectS", 600.0));
        cluster.until(() -> cluster.running().size() == 1, 30);
        cluster.net.weather((from, to, call) -> call.target().equals("/do") ? Fate.HELD : Fate.DELIVERED);
        cluster.submit(SimulatedCluster.job(2, 1).put("expectS", 600.0));
        while (cluster.net.held() == 0) {
            cluster.loop.run(0.01);
        }
        cluster.ask(cluster.follower(), "POST", "/api/jobs/j-000002/abort", (JsonNode) null);
        cluster.loop.run(SimulatedCluster.CANCEL_S + 5);
        assertFalse(cluster.bound("j-000002"), "released on the proof that the machine is gone");
        cluster.net.letGo();
        cluster.loop.run(5);
        assertTrue(cluster.starts().stream().noneMatch(start -> start.startsWith("j-000002")));
        assertEquals(1, cluster.running().size(), "the other task runs on another machine");
    }
}
