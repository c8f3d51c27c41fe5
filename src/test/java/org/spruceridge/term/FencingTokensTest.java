package org.spruceridge.term;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Predicate;
import org.junit.jupiter.api.Test;
import org.spruceridge.cluster.Machine;
import org.spruceridge.cluster.MachineKind;
import org.spruceridge.net.Durations;
import org.spruceridge.net.HttpAnswer;
import org.spruceridge.net.HttpCall;
import org.spruceridge.net.HttpClient;
import org.spruceridge.net.Json;
import org.spruceridge.record.StateKeys;
import org.spruceridge.record.TermRecord;
import org.spruceridge.sim.Fixtures;
import org.spruceridge.sim.SimLoop;
import org.spruceridge.sim.SimStateService;

/** Tests that a leader uses only fencing tokens that no other leader can use. */
final class FencingTokensTest {
    private static final long TERM = 7;
    private final SimLoop loop = new SimLoop();
    private final SimStateService state = new SimStateService(loop, Fixtures.FLEET_TRANSACTION_OPERATIONS, 1000);
    private final long leaderRevision = state.put(StateKeys.LEADER, Json.object());
    private Predicate<HttpCall> responseLost = call -> false;
    private Predicate<HttpCall> heldUp = call -> false;
    private final List<Runnable> heldUpCalls = new ArrayList<>();
    private final FencingTokens tokens = tokens();
    private final Machine machine =
            new Machine("i-000001", "", new MachineKind("t8", "a", true), loop.nanos(), loop.nanos());

    private FencingTokens tokens() {
        state.put(StateKeys.TERM, new TermRecord(TERM, TERM).write());
        LeaderContext context = Fixtures.fleetLeaderContext(loop, new LeaderTerm(TERM, leaderRevision, loop.nanos()));
        HttpClient http = (to, call, timeout, onResponse) -> {
            boolean isAnswered = !responseLost.test(call) && !heldUp.test(call);
            if (!isAnswered) {
                loop.after(timeout, () -> onResponse.accept(HttpAnswer.noResponse()));
            }
            Runnable arrival = () -> state.accept(call, response -> {
                if (isAnswered) {
                    onResponse.accept(response);
                }
            });
            if (heldUp.test(call)) {
                heldUpCalls.add(arrival);
            } else {
                loop.after(Durations.millis(5), arrival);
            }
            return () -> {};
        };
        return new FencingTokens(context, Fixtures.fleetStateClient(context, http));
    }

    private long storedTerm() {
        return TermRecord.read(state.value(StateKeys.TERM)).term();
    }

    /** Tries to raise the token once per second, as the heartbeats of a worker would. */
    private void raiseFor(int seconds) {
        for (int second = 0; second < seconds; second++) {
            tokens.raise(machine, loop.nanos());
            assertTrue(tokens.current(machine) <= storedTerm(), "a token must be reserved before it is used");
            loop.run(1);
        }
    }

    @Test
    void tokenIsRaisedOnlyAfterReservationIsCommitted() {
        tokens.raise(machine, loop.nanos());
        assertEquals(TERM, tokens.current(machine));
        loop.run(1);
        tokens.raise(machine, loop.nanos());
        assertEquals(TERM + 1, tokens.current(machine));
        assertTrue(tokens.contains(TERM + 1));
        assertFalse(tokens.contains(TERM - 1));
        assertTrue(tokens.isOfLaterTerm(storedTerm() + 1), "the next leader gets the next higher term");
    }

    @Test
    void moreTokensAreReservedDuringLongTerm() {
        int raises = 5 * FencingTokens.RESERVATION_SIZE;
        raiseFor(raises);
        assertTrue(tokens.current(machine) >= TERM + raises - 10, "current token: " + tokens.current(machine));
        assertTrue(state.transactionCount() <= 6, "transactions: " + state.transactionCount());
    }

    /** Guards against tokens that two leaders use, after the outcome of a reservation was unknown. */
    @Test
    void reservationWithUnknownOutcomeIsRepeatedAfterStoredTermIsRead() {
        responseLost = call -> call.target().equals("/txn");
        raiseFor(30);
        assertEquals(TERM, tokens.current(machine));
        responseLost = call -> false;
        raiseFor(30);
        assertTrue(tokens.current(machine) > TERM);
    }

    /** Guards against a reservation that is executed after another node has become the leader. */
    @Test
    void reservationExecutedAfterEndOfTermChangesNothing() {
        heldUp = call -> call.target().equals("/txn");
        raiseFor(5);
        state.put(StateKeys.LEADER, Json.object());
        state.put(StateKeys.TERM, new TermRecord(TERM + 1, TERM + 1).write());
        heldUpCalls.forEach(Runnable::run);
        heldUp = call -> false;
        raiseFor(15); // this leader does not know yet that its term has ended
        assertEquals(TERM + 1, storedTerm());
        assertEquals(TERM, tokens.current(machine));
    }
}
