package org.spruceridge.election;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.google.common.collect.ImmutableMap;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.spruceridge.config.Address;
import org.spruceridge.config.Policy;
import org.spruceridge.config.Settings;
import org.spruceridge.net.Cancellable;
import org.spruceridge.net.Durations;
import org.spruceridge.net.HttpAnswer;
import org.spruceridge.net.HttpCall;
import org.spruceridge.net.Json;
import org.spruceridge.net.Latencies;
import org.spruceridge.net.RateLimitedWarnings;
import org.spruceridge.net.RateLimiter;
import org.spruceridge.record.StateKeys;
import org.spruceridge.sim.Fixtures;
import org.spruceridge.sim.SimLoop;
import org.spruceridge.sim.SimStateService;
import org.spruceridge.state.StateClient;
import org.spruceridge.term.LeaderTerm;
import org.spruceridge.upgrade.ClusterFeatureLevel;

/**
 * Tests that a won election writes its records in the production format. Also tests that the leader lease is valid for
 * exactly its TTL less the safety margins.
 */
final class ElectionTest {
    private static final Settings SETTINGS = Fixtures.settings(
            ImmutableMap.of("red", new Settings.Team("red", 0, 0, 0, 0)),
            new Settings.Workers(5, 22, 42),
            new Settings.State(200, 50, 8, 24),
            new Settings.Cloud(6, 10),
            new Settings.Resources(0.1, 142, 900));
    private static final Policy POLICY = Policy.defaults();
    private static final long TTL_NANOS =
            Durations.nanos(22 * POLICY.leadership().ttlWorkerLeases());
    private static final long RENEWAL_INTERVAL_NANOS =
            (long) (TTL_NANOS / POLICY.leadership().renewalsPerTtl());
    /** The TTL less 3% for rounding and late timers and less 0.05% for clock drift. */
    private static final long VALIDITY_NANOS = (long) (TTL_NANOS * (1 - 0.0005 - 0.03));

    private static final long LATENCY_NANOS = Durations.millis(5);

    private final SimLoop loop = new SimLoop();
    private final SimStateService state = new SimStateService(loop, 100, 1000);
    private final List<LeaderTerm> wonTerms = new ArrayList<>();
    private final List<Long> lostAtNanos = new ArrayList<>();
    private long leaseCreationSentAtNanos;
    private final List<Long> renewalsSentAtNanos = new ArrayList<>();
    private boolean stateServiceUnreachable;
    private final Election election = election();

    private Election election() {
        RateLimitedWarnings warnings = new RateLimitedWarnings(loop);
        StateClient client = new StateClient(
                loop,
                (to, call, timeout, onResponse) -> send(call, onResponse),
                new Address("10.0.0.1", 1),
                new RateLimiter(loop, 1e6, 1e6, 1e6),
                warnings,
                new Latencies(loop));
        ElectionDependencies dependencies =
                new ElectionDependencies(loop, client, new ClusterFeatureLevel(client), new Random(1), warnings);
        return new Election(dependencies, SETTINGS, POLICY, new Election.Listener() {
            @Override
            public void leadershipAcquired(LeaderTerm term) {
                wonTerms.add(term);
            }

            @Override
            public void leadershipLost() {
                lostAtNanos.add(loop.nanos());
            }
        });
    }

    private Cancellable send(HttpCall call, Consumer<HttpAnswer> onResponse) {
        if (call.target().equals("/grants")) {
            leaseCreationSentAtNanos = loop.nanos();
        } else if (call.target().endsWith("/renew")) {
            renewalsSentAtNanos.add(loop.nanos());
        }
        return loop.after(LATENCY_NANOS, () -> {
            if (stateServiceUnreachable) {
                onResponse.accept(HttpAnswer.notSent());
            } else {
                state.accept(call, onResponse);
            }
        });
    }

    private void runUntilElected() {
        election.start();
        loop.run(1);
        assertEquals(1, wonTerms.size());
        assertTrue(election.isLeader());
    }

    /** Asserts that the node is the leader one nanosecond before the expiry and is not the leader at the expiry. */
    private void assertLeaseExpiresAt(long expiryNanos) {
        List<Boolean> leaderBeforeAndAtExpiry = new ArrayList<>();
        loop.after(expiryNanos - 1 - loop.nanos(), () -> leaderBeforeAndAtExpiry.add(election.isLeader()));
        loop.after(expiryNanos - loop.nanos(), () -> leaderBeforeAndAtExpiry.add(election.isLeader()));
        loop.run(Durations.seconds(expiryNanos - loop.nanos()) + 0.001);
        assertEquals(List.of(true, false), leaderBeforeAndAtExpiry);
    }

    @Test
    void wonElectionWritesLeaderAndTermInProductionFormat() {
        state.put(StateKeys.TERM, Json.object().put("term", 6));
        runUntilElected();
        assertEquals("{\"term\":7}", state.value(StateKeys.TERM).toString());
        String incarnation = Long.toHexString(new Random(1).nextLong());
        assertEquals(
                "{\"host\":\"n0\",\"incarnation\":\"" + incarnation + "\",\"term\":7}",
                state.value(StateKeys.LEADER).toString());
        assertEquals(7, wonTerms.get(0).term());
    }

    @Test
    void validityOfUnrenewedLeaseCountsFromCreationRequest() {
        runUntilElected();
        stateServiceUnreachable = true;
        assertLeaseExpiresAt(leaseCreationSentAtNanos + VALIDITY_NANOS);
    }

    @Test
    void leaseIsRenewedEveryIntervalAndValidityCountsFromRenewalRequest() {
        runUntilElected();
        long electedAtNanos = wonTerms.get(0).electedAtNanos();
        loop.run(Durations.seconds(2 * RENEWAL_INTERVAL_NANOS));
        long secondRenewalAtNanos = electedAtNanos + RENEWAL_INTERVAL_NANOS + LATENCY_NANOS + RENEWAL_INTERVAL_NANOS;
        assertEquals(List.of(electedAtNanos + RENEWAL_INTERVAL_NANOS, secondRenewalAtNanos), renewalsSentAtNanos);
        loop.run(Durations.seconds(2 * LATENCY_NANOS));
        stateServiceUnreachable = true;
        assertLeaseExpiresAt(secondRenewalAtNanos + VALIDITY_NANOS);
    }

    @Test
    void failedRenewalIsRetriedAfterQuarterOfInterval() {
        runUntilElected();
        stateServiceUnreachable = true;
        loop.run(Durations.seconds(2 * RENEWAL_INTERVAL_NANOS));
        long firstRenewalAtNanos = wonTerms.get(0).electedAtNanos() + RENEWAL_INTERVAL_NANOS;
        assertEquals(firstRenewalAtNanos, renewalsSentAtNanos.get(0));
        assertEquals(firstRenewalAtNanos + LATENCY_NANOS + RENEWAL_INTERVAL_NANOS / 4, renewalsSentAtNanos.get(1));
    }

    @Test
    void resignedLeaderCampaignsAgainOnlyAfterLeaseTtl() {
        runUntilElected();
        long resignedAtNanos = loop.nanos();
        election.resign("test");
        assertFalse(election.isLeader());
        assertEquals(List.of(resignedAtNanos), lostAtNanos);
        loop.run(Durations.seconds(TTL_NANOS) - 0.001);
        assertEquals(1, wonTerms.size());
        loop.run(1);
        assertEquals(2, wonTerms.size());
        assertEquals(2, wonTerms.get(1).term());
    }
}
