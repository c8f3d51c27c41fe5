package org.spruceridge.cluster;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Each proof that ends the uncertainty about a direct start, and facts that prove nothing. */
final class StartCommandsTest {
    private static final long ATTEMPT = 5;
    private static final long OTHER_ATTEMPT = 6;
    private static final long TOKEN = 9;

    private final StartCommands commands = new StartCommands();

    private void sendWithoutResponse(long attempt) {
        commands.recordDirectStartSent(attempt, TOKEN);
        commands.recordDirectStartUnanswered(attempt, 1000);
    }

    @Test
    void unansweredStartIsUncertainUntilItsAttemptIsListed() {
        sendWithoutResponse(ATTEMPT);
        assertTrue(commands.hasUncertainStart());
        commands.recordListed(OTHER_ATTEMPT);
        assertTrue(commands.hasUncertainStart());
        commands.recordListed(ATTEMPT);
        assertFalse(commands.hasUncertainStart());
    }

    /** Guards against an attempt that is forgotten while its late start command could start it once more. */
    @Test
    void listedAttemptIsForgettableOnlyOnceHigherTokenIsAccepted() {
        sendWithoutResponse(ATTEMPT);
        commands.recordListed(ATTEMPT);
        assertFalse(commands.isForgettable(ATTEMPT));
        commands.recordAcceptedFencingToken(TOKEN);
        assertFalse(commands.isForgettable(ATTEMPT));
        commands.recordAcceptedFencingToken(TOKEN + 1);
        assertTrue(commands.isForgettable(ATTEMPT));
    }

    @Test
    void higherAcceptedTokenEndsUncertaintyAndEqualTokenDoesNot() {
        sendWithoutResponse(ATTEMPT);
        commands.recordAcceptedFencingToken(TOKEN);
        commands.recordHeartbeat();
        assertTrue(commands.hasUncertainStart());
        assertTrue(commands.canStillArrive(ATTEMPT));
        commands.recordAcceptedFencingToken(TOKEN + 1);
        assertFalse(commands.hasUncertainStart());
        assertFalse(commands.canStillArrive(ATTEMPT));
    }

    @Test
    void startThatWasSentAfterTokenWasRaisedStaysUncertain() {
        sendWithoutResponse(ATTEMPT);
        commands.recordDirectStartSent(OTHER_ATTEMPT, TOKEN + 1);
        commands.recordAcceptedFencingToken(TOKEN + 1);
        commands.recordDirectStartUnanswered(OTHER_ATTEMPT, 2000);
        assertTrue(commands.hasUncertainStart());
        assertTrue(commands.canStillArrive(OTHER_ATTEMPT));
    }

    @Test
    void newIncarnationEndsUncertainty() {
        sendWithoutResponse(ATTEMPT);
        commands.clear();
        assertFalse(commands.hasUncertainStart());
    }

    /** A response that times out after the attempt was listed must not exclude the machine. */
    @Test
    void startOfListedAttemptDoesNotBecomeUncertain() {
        commands.recordDirectStartSent(ATTEMPT, TOKEN);
        commands.recordListed(ATTEMPT);
        commands.recordDirectStartUnanswered(ATTEMPT, 1000);
        assertFalse(commands.hasUncertainStart());
    }
}
