package org.spruceridge.persistence;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import com.google.common.collect.ImmutableSet;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.spruceridge.cluster.Binding;
import org.spruceridge.cluster.Cluster;
import org.spruceridge.cluster.Job;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.config.Address;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.net.CancellationScope;
import org.spruceridge.net.Durations;
import org.spruceridge.net.HttpAnswer;
import org.spruceridge.net.HttpClient;
import org.spruceridge.net.Json;
import org.spruceridge.net.Latencies;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.net.RateLimiter;
import org.spruceridge.sim.Fixtures;
import org.spruceridge.sim.SimLoop;
import org.spruceridge.state.StateClient;
import org.spruceridge.term.LeaderContext;
import org.spruceridge.term.LeaderMetrics;
import org.spruceridge.term.LeaderTerm;

/**
 * Tests how long writes wait for their commit. The cluster is as large as a production fleet, and the limit on the rate
 * of changes is low.
 */
final class RecordWriterTest {
    private static final Address STATE_SERVICE_ADDRESS = new Address("10.0.0.1", 1);
    private static final Settings SETTINGS = Fixtures.settings(
            ImmutableMap.of("red", new Settings.Team("red", 0, 0, 0, 0)),
            new Settings.Workers(4, 22, 42),
            new Settings.State(500, 80, 4, 12),
            new Settings.Cloud(8, 5),
            new Settings.Resources(1, 414, 3203));
    /** The leader's share of the 80 changes per second that the state service allows. */
    private static final double CHANGES_PER_S = 49;

    private final SimLoop loop = new SimLoop();
    private final Cluster cluster = new Cluster();
    private final RateLimiter limiter = new RateLimiter(loop, 90, CHANGES_PER_S, 1);
    private final RecordWriter recordWriter = recordWriter();
    private long revision = 1;
    private long lastAttempt = 9L << 24;

    private RecordWriter recordWriter() {
        RateLimitedWarnings warnings = new RateLimitedWarnings(loop);
        Latencies latencies = new Latencies(loop);
        HttpClient http = (to, call, timeout, onResponse) -> {
            long newRevision = ++revision;
            loop.after(
                    Durations.millis(12),
                    () -> onResponse.accept(
                            new HttpAnswer(200, Json.bytes(Json.object().put("ring", newRevision)))));
            return () -> {};
        };
        StateClient state = new StateClient(loop, http, STATE_SERVICE_ADDRESS, limiter, warnings, latencies);
        RecordWriter.Listener listener = new RecordWriter.Listener() {
            @Override
            public void onCommitted(ImmutableSet<Machine> bound) {}

            @Override
            public void onJobCancelled(Job job) {}

            @Override
            public void onWriteFailed(String reason) {
                throw new AssertionError(reason);
            }
        };
        LeaderContext context = new LeaderContext(
                loop,
                new CancellationScope(loop),
                SETTINGS,
                Policy.defaults(),
                cluster,
                new LeaderTerm(9, 1, 0),
                () -> true,
                warnings,
                latencies,
                new LeaderMetrics());
        return new RecordWriter(context, state, listener);
    }

    private Job job() {
        Job job = WriteBatchTest.job(1, 100_000);
        cluster.add(job);
        return job;
    }

    private List<Machine> machines(int firstNumber, int count) {
        List<Machine> machines = new ArrayList<>();
        for (int i = firstNumber; i < firstNumber + count; i++) {
            Machine machine =
                    new Machine(String.format("i-%06d", i), "", new MachineKind("t8", "a", true), loop.nanos(), 0);
            cluster.add(machine);
            machines.add(machine);
        }
        return machines;
    }

    private Binding bind(Job job, Machine machine) {
        Binding binding =
                new Binding(job, job.nextWaiting(0), ++lastAttempt, machine, Binding.Stage.PROPOSED, loop.nanos());
        cluster.bind(binding);
        recordWriter.recordBinding(binding);
        return binding;
    }

    @Test
    void proposedBindingIsCommittedWithinSecondsDespiteSteadyCompletions() {
        Job job = job();
        List<Machine> machines = machines(0, 1460);
        List<Binding> running = new ArrayList<>();
        // Each round gives every machine one more task. Pages are assigned when each machine has only one task, and
        // overflow in later rounds.
        for (int k = 0; k < 3; k++) {
            for (Machine machine : machines) {
                running.add(bind(job, machine));
            }
            loop.run(30);
            assertEquals(0, recordWriter.backlog());
        }
        Deque<Binding> proposed = new ArrayDeque<>();
        double longestWaitS = 0;
        for (int i = 0; i < 60 * 20; i++) {
            Binding completedBinding = running.get(i * 1009 % running.size());
            recordWriter.release(completedBinding, true);
            proposed.add(bind(job, machines.get(i * 701 % machines.size())));
            loop.run(1.0 / 60);
            proposed.removeIf(b -> b.stage() != Binding.Stage.PROPOSED);
            if (!proposed.isEmpty()) {
                longestWaitS = Math.max(
                        longestWaitS,
                        Durations.seconds(loop.nanos() - proposed.peek().createdAt()));
            }
        }
        assertTrue(
                longestWaitS < 4, "a proposed binding must be committed within 4 s but waited " + longestWaitS + " s");
        loop.run(4);
        assertEquals(0, recordWriter.backlog());
    }

    @Test
    void thousandsOfSimultaneousReleasesAreCommittedWithinSeconds() {
        Job job = job();
        List<Binding> running = new ArrayList<>();
        for (Machine machine : machines(0, 1460)) {
            for (int k = 0; k < 4; k++) {
                running.add(bind(job, machine));
            }
        }
        loop.run(30);
        assertEquals(0, recordWriter.backlog());
        // Releases all bindings of two thirds of the machines, as after a zone was unreachable for the duration of a
        // lease.
        long revisionBefore = revision;
        running.subList(0, 4 * 970).forEach(b -> recordWriter.release(b, false));
        assertEquals(
                4 * 1460 - 4 * 970,
                job.bindings().stream().filter(b -> !b.isProvenGone()).count());
        loop.run(8);
        assertEquals(0, recordWriter.backlog());
        assertTrue(
                revision - revisionBefore <= 20,
                "at most 20 transactions must suffice but " + (revision - revisionBefore) + " were sent");
        assertEquals(4 * 1460 - 4 * 970, job.bindings().size());
    }
}
