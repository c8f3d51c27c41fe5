package org.spruceridge.story;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.spruceridge.net.Response;
import org.spruceridge.record.BindingsRecord;
import org.spruceridge.sim.SimNet.Fate;
import org.spruceridge.sim.SimWorker;
import org.spruceridge.sim.World;

/** What may go wrong with the nodes, their elections and the state service, and what must still hold. */
final class LeadershipStoriesTest {
    private final World world = new World(3);

    @Test
    void aLeaderDiesBetweenTheCommitAndTheOrder() {
        world.until(() -> world.leader() != null, 10);
        // The binding is committed, but its leader dies before it hears of that.
        world.net.weather((from, to, call) -> call.target().equals("/txn") && new String(call.body()).contains("bound/")
                ? Fate.ANSWER_LOST
                : Fate.DELIVERED);
        world.submit(World.job(1, 1));
        world.until(() -> !world.cloud.workers().isEmpty(), 30);
        String first = world.leader();
        world.until(() -> world.bound("j-000001"), 30);
        assertTrue(world.starts().isEmpty(), "the start must come after the commit");
        world.crash(first);
        world.net.clear();
        world.until(() -> world.poll("j-000001").equals("done"), 60);
        assertEquals(1, world.starts().size());
    }

    /** Before that it could only turn workers away, and those would flood it while it finds out. */
    @Test
    void aNodeThatStartsIsReadyOnceItKnowsTheLeader() {
        world.until(() -> world.leader() != null, 10);
        world.until(() -> List.of("n0", "n1", "n2").stream().allMatch(world::ready), 5);
        List.of("n0", "n1", "n2").forEach(world::crash);
        world.state.outage(8);
        world.boot("n1");
        world.loop.run(7);
        assertFalse(world.ready("n1"), "without state service and peers it knows no leader");
        world.until(() -> world.ready("n1"), 20);
    }

    @Test
    void aDeposedLeadersLateTransactionChangesNothing() {
        world.until(() -> world.leader() != null, 10);
        world.submit(World.job(1, 2).put("expectS", 200.0));
        world.until(() -> !world.cloud.workers().isEmpty(), 30);
        String old = world.leader();
        // The old leader's writes get stuck in the network; then it loses the state service altogether.
        world.net.weather(
                (from, to, call) -> from.equals(old) && call.target().equals("/txn") ? Fate.HELD : Fate.DELIVERED);
        world.until(() -> world.net.held() > 0, 30);
        world.net.weather(
                (from, to, call) -> from.equals(old) && to.host().startsWith("10.2.0.1") ? Fate.LOST : Fate.DELIVERED);
        world.until(() -> world.leader() != null && !world.leader().equals(old), 30);
        world.until(() -> world.running().size() == 2, 60);
        JsonNode leader = world.state.value("leader");
        List<BindingsRecord.OnMachine> machines = world.recorded();
        world.net.letGo();
        world.loop.run(0.1);
        assertEquals(leader, world.state.value("leader"));
        assertEquals(machines, world.recorded());
        world.until(() -> world.poll("j-000001").equals("done"), 300);
        assertEquals(2, world.starts().size());
    }

    @Test
    void aLeaderThatLostTheStateServiceStopsAnsweringWorkers() {
        world.until(() -> world.leader() != null, 10);
        String old = world.leader();
        world.net.weather(
                (from, to, call) -> from.equals(old) && to.host().startsWith("10.2.0.1") ? Fate.LOST : Fate.DELIVERED);
        world.until(() -> world.leader() != null && !world.leader().equals(old), 30);
        Response answer = world.ask(old, "POST", "/hello", World.report("i-000099", 7));
        assertNotEquals(200, answer.status());
    }

    @Test
    void aTakeoverWaitsForASilentWorkersLease() {
        world.until(() -> world.leader() != null, 10);
        world.submit(World.job(1, 1).put("expectS", 25.0));
        world.until(() -> world.running().size() == 1, 30);
        SimWorker worker = world.cloud.workers().get(0);
        // Its task goes on while nobody can hear it, nor reach the cloud, and the leader dies.
        world.net.weather((from, to, call) ->
                from.equals(worker.name()) || to.host().equals("10.2.0.2") ? Fate.LOST : Fate.DELIVERED);
        world.crash(world.leader());
        world.until(() -> world.leader() != null, 30);
        world.loop.run(4);
        assertEquals(1, world.running().size(), "the silent worker still runs the task");
        assertEquals(1, world.starts().size());
        world.net.clear();
        world.net.weather((from, to, call) -> from.equals(worker.name()) ? Fate.LOST : Fate.DELIVERED);
        world.until(() -> world.poll("j-000001").equals("done"), 120);
        assertEquals(2, world.starts().size());
    }

    @Test
    void theLimitHoldsWhenALeaderTakesOverWithSilentWorkers() {
        world.until(() -> world.leader() != null, 10);
        world.submit(World.job(1, 4).put("expectS", 30.0));
        world.until(() -> world.running().size() == 4, 40); // the team's limit
        world.net.weather(
                (from, to, call) -> from.startsWith("i-") || to.host().equals("10.2.0.2") ? Fate.LOST : Fate.DELIVERED);
        world.crash(world.leader());
        world.submit(World.job(2, 4).put("expectS", 30.0));
        world.until(() -> world.leader() != null, 30);
        world.loop.run(5);
        world.net.clear();
        world.loop.run(200);
        // The world counts the limit at every start.
        assertEquals(8, world.completed().size());
    }

    @Test
    void aStateOutageLosesNothing() {
        world.until(() -> world.leader() != null, 10);
        world.submit(World.job(1, 2).put("expectS", 30.0));
        world.until(() -> world.running().size() == 2, 40);
        world.state.outage(8);
        assertEquals("503", world.poll("j-000001"));
        assertEquals(503, world.ask("n0", "POST", "/api/jobs", World.job(2, 1)).status());
        world.loop.run(10);
        world.until(() -> world.poll("j-000001").equals("done"), 60);
        assertEquals(2, world.starts().size(), "an outage shorter than a lease costs no task");
    }

    @Test
    void allNodesDieAndComeBack() {
        world.until(() -> world.leader() != null, 10);
        world.submit(World.job(1, 4).put("expectS", 20.0));
        world.until(() -> world.running().size() == 4, 40);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            world.crash(node);
        }
        assertNull(world.leader());
        world.loop.run(3);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            world.boot(node);
        }
        world.until(() -> world.poll("j-000001").equals("done"), 60);
        assertEquals(4, world.starts().size());
    }

    @Test
    void aLeaderThatWorkersCannotReachYields() {
        world.until(() -> world.leader() != null, 10);
        world.submit(World.job(1, 2).put("expectS", 40.0));
        world.until(() -> world.running().size() == 2, 40);
        String old = world.leader();
        world.net.weather((from, to, call) -> {
            boolean in = from.startsWith("i-") && to.equals(World.address(old));
            boolean out = from.equals(old) && call.target().equals("/do");
            return in || out ? Fate.LOST : Fate.DELIVERED;
        });
        world.until(() -> world.poll("j-000001").equals("done"), 90);
        assertNotEquals(old, world.leader());
        assertEquals(2, world.starts().size(), "another leader answered before any lease ran out");
    }

    @Test
    void nodesThatStartWhileTheCloudIsOutStillTakeAndPlaceJobs() {
        world.until(() -> world.leader() != null, 10);
        world.submit(World.job(1, 1));
        world.until(() -> world.poll("j-000001").equals("done"), 60);
        world.net.weather((from, to, call) -> to.host().equals("10.2.0.2") ? Fate.LOST : Fate.DELIVERED);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            world.crash(node);
        }
        for (String node : new String[] {"n0", "n1", "n2"}) {
            world.boot(node);
        }
        world.loop.run(5);
        assertEquals(201, world.submit(World.job(2, 1)));
        world.until(() -> world.poll("j-000002").equals("done"), 60);
    }

    @Test
    void aRestartedLeadersPlaceIsTakenAtOnceByANodeThatWasUp() {
        world.until(() -> world.leader() != null, 10);
        String leader = world.leader();
        // Even if the others are slower to hear of it.
        world.net.weather((from, to, call) -> from.equals(leader) ? Fate.DELIVERED : Fate.SLOW);
        world.crash(leader);
        world.boot(leader);
        world.loop.run(0.8);
        assertNotNull(world.leader());
        assertNotEquals(leader, world.leader());
    }

    @Test
    void aRestartedLeaderTakesItsOwnPlaceIfNobodyElseDoes() {
        world.until(() -> world.leader() != null, 10);
        String leader = world.leader();
        List.of("n0", "n1", "n2").forEach(world::crash);
        world.boot(leader);
        world.loop.run(World.LEASE_S / 4);
        assertEquals(leader, world.leader(), "long before the grant of its former life ends");
    }

    @Test
    void aNewLeaderGivesMachinesALeaseToFindIt() {
        world.until(() -> world.leader() != null, 10);
        // One task fills the memory of a machine, so that most of the zone's four are heard.
        world.submit(World.job(1, 4).put("memGb", 20.0).put("grove", "z1").put("expectS", 40.0));
        world.until(() -> world.running().size() == 4, 40);
        int rented = world.cloud.rented();
        SimWorker slow = world.cloud.workers().get(0);
        world.net.weather((from, to, call) ->
                from.equals(slow.name()) || to.host().equals("10.1.0." + slow.name()) ? Fate.LOST : Fate.DELIVERED);
        world.crashLeader(0.1);
        world.loop.run(World.LEASE_S * 0.75);
        assertNotNull(world.leader());
        assertEquals(rented, world.cloud.rented(), "it is still looking for its leader, as all workers are");
        world.net.clear();
        world.until(() -> world.poll("j-000001").equals("done"), 60);
        assertEquals(4, world.starts().size());
    }

    @Test
    void aNodeThatDoesNotLeadDoesNotLookIntoReports() {
        world.until(() -> world.leader() != null, 10);
        world.loop.run(1);
        byte[] unreadable = {'?'};
        assertEquals(
                421, world.ask(world.follower(), "POST", "/hello", unreadable).status());
        assertEquals(
                400, world.ask(world.leader(), "POST", "/hello", unreadable).status());
    }

    @Test
    void aNodeWithoutStateServiceAndPeersHoldsNoWorker() {
        world.until(() -> world.leader() != null, 10);
        world.submit(World.job(1, 2).put("expectS", 60.0));
        world.until(() -> world.running().size() == 2, 40);
        String old = world.leader();
        String cut = world.follower();
        world.cutPeers(cut);
        world.net.weather(
                (from, to, call) -> from.equals(cut) && to.host().startsWith("10.2.0.1") ? Fate.LOST : Fate.DELIVERED);
        world.loop.run(26); // past the end of its last watch
        world.crash(old);
        world.until(() -> world.leader() != null, 30);
        assertNotEquals(cut, world.leader());
        world.loop.run(4); // a watch from before the cut was still answered
        Response answer = world.ask(cut, "POST", "/hello", World.report("i-000099", 7));
        assertEquals(503, answer.status(), "it must not send workers to a leader of which it has no fresh word");
        assertEquals(503, world.ask(cut, "GET", "/healthz", (JsonNode) null).status());
        world.until(() -> world.poll("j-000001").equals("done"), 90);
        assertEquals(2, world.starts().size(), "no lease ran out");
    }

    @Test
    void aLeaderThatLosesStateServiceAndPeersLetsItsWorkersGo() {
        world.until(() -> world.leader() != null, 10);
        world.submit(World.job(1, 2).put("expectS", 60.0));
        world.until(() -> world.running().size() == 2, 40);
        String cut = world.leader();
        world.cutPeers(cut);
        world.net.weather(
                (from, to, call) -> from.equals(cut) && to.host().startsWith("10.2.0.1") ? Fate.LOST : Fate.DELIVERED);
        world.until(() -> world.leader() != null && !world.leader().equals(cut), 30);
        world.until(() -> world.poll("j-000001").equals("done"), 90);
        assertEquals(2, world.starts().size(), "no lease ran out");
    }

    @Test
    void aProcessThatIsBackAtOnceMeetsItsOwnLateElection() {
        World late = new World(1);
        late.net.weather((from, to, call) -> call.target().equals("/txn") ? Fate.HELD : Fate.DELIVERED);
        while (late.net.held() == 0) {
            late.loop.run(0.01);
        }
        late.crash("n0");
        late.loop.run(0.05);
        late.boot("n0");
        late.loop.run(0.3);
        late.net.clear();
        late.net.letGo();
        late.loop.run(5);
        assertEquals("n0", late.leader());
        late.submit(World.job(1, 1));
        late.loop.run(40);
        assertEquals("done", late.poll("j-000001"));
        assertEquals(1, late.starts().size());
    }

    @Test
    void everyJobIsAnsweredForAndRunsOnceTroublesAreOver() {
        world.until(() -> world.leader() != null, 10);
        for (int i = 1; i <= 4; i++) {
            world.submit(World.job(i, 2).put("expectS", 10.0));
        }
        world.until(() -> world.running().size() == 4, 40);
        // An outage, in the midst of which all nodes die; then each node in turn loses the state service.
        world.state.outage(20);
        world.loop.run(5);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            world.crash(node);
        }
        world.loop.run(3);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            world.boot(node);
        }
        world.loop.run(15);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            world.net.weather((from, to, call) ->
                    from.equals(node) && to.host().startsWith("10.2.0.1") ? Fate.LOST : Fate.DELIVERED);
            world.loop.run(10);
        }
        world.net.clear();
        world.loop.run(5);
        for (String node : new String[] {"n0", "n1", "n2"}) {
            assertEquals(
                    200, world.ask(node, "GET", "/healthz", (JsonNode) null).status());
            for (int i = 1; i <= 4; i++) {
                String id = String.format("j-%06d", i);
                assertEquals(
                        200,
                        world.ask(node, "GET", "/api/jobs/" + id, (JsonNode) null)
                                .status());
            }
        }
        world.until(() -> world.completed().size() == 8, 120);
    }

    @Test
    void aLeaderThatStandsStillForLongerThanALeaseFindsAnotherInItsPlace() {
        world.until(() -> world.leader() != null, 10);
        world.submit(World.job(1, 2).put("expectS", 60.0));
        world.until(() -> world.running().size() == 2, 40);
        String old = world.leader();
        // A job is accepted, and its binding is about to be written, at the moment at which the leader stops.
        world.submit(World.job(2, 1).put("expectS", 5.0));
        world.standStill(old, 2 * World.LEASE_S);
        world.loop.run(World.LEASE_S);
        assertNotEquals(old, world.leader());
        Response answer = world.ask(world.leader(), "POST", "/api/jobs/j-000002/abort", (JsonNode) null);
        String said = World.stage(answer);
        int deletions = world.cloud.deletions();
        world.loop.run(World.LEASE_S + 1);
        assertNotEquals(old, world.leader(), "what it knew before it stopped counts no more");
        assertEquals(deletions, world.cloud.deletions(), "silence that was its own is not believed");
        assertEquals(said, World.stage(world.ask(old, "GET", "/api/jobs/j-000002", (JsonNode) null)));
        world.until(() -> world.poll("j-000001").equals("done"), 90);
        assertEquals(
                2,
                world.starts().stream()
                        .filter(start -> start.startsWith("j-000001"))
                        .count(),
                "no lease ran out");
    }

    @Test
    void aLeaderWhoseGrantIsOverReturnsNoMachineOfItsSuccessor() {
        world.until(() -> world.leader() != null, 10);
        String old = world.leader();
        boolean[] asked = new boolean[1];
        boolean[] askedWithoutGrant = new boolean[1];
        world.net.weather((from, to, call) -> {
            boolean returns = from.equals(old) && call.target().equals("/hosts/delete");
            asked[0] |= returns;
            askedWithoutGrant[0] |= returns && !old.equals(world.leader());
            boolean watch = call.target().startsWith("/follow?starts=leader");
            boolean cut = from.equals(old) && (watch || asked[0] && to.host().equals("10.2.0.1"));
            return returns || cut ? Fate.LOST : Fate.DELIVERED;
        });
        world.submit(World.job(1, 1));
        world.until(() -> asked[0], 120); // and it will ask again, as no answer comes
        world.until(() -> world.leader() != null && !world.leader().equals(old), 30);
        world.loop.run(World.LEASE_S);
        assertFalse(askedWithoutGrant[0]);
    }

    @Test
    void aLeaderThatStandsStillForLessThanAGrantGoesOn() {
        world.until(() -> world.leader() != null, 10);
        world.submit(World.job(1, 4).put("expectS", 60.0));
        world.until(() -> world.running().size() == 4, 40);
        String leader = world.leader();
        int deletions = world.cloud.deletions();
        world.standStill(leader, World.LEASE_S * 0.4);
        world.loop.run(World.LEASE_S);
        assertEquals(leader, world.leader());
        assertEquals(deletions, world.cloud.deletions(), "silence that was its own is not believed");
        world.until(() -> world.poll("j-000001").equals("done"), 90);
        assertEquals(4, world.starts().size());
    }

    @Test
    void aNodeThatStandsStillInItsElectionOrTakeoverIsNoLeaderWhenItGoesOn() {
        for (int step = 0; step < 12; step++) {
            World fresh = new World(2);
            fresh.loop.run(0.0004 * step * step); // somewhere between its first request and the end of its takeover
            fresh.standStill("n1", 3 * World.LEASE_S);
            fresh.standStill("n0", 0.5);
            fresh.loop.run(10);
            assertEquals("n0", fresh.leader(), "step " + step);
            fresh.submit(World.job(1, 1).put("expectS", 60.0));
            fresh.loop.run(3 * World.LEASE_S);
            assertEquals("n0", fresh.leader(), "step " + step);
            fresh.loop.run(60);
            assertEquals("done", fresh.poll("j-000001"));
            assertEquals(1, fresh.starts().size());
        }
    }
}
