package org.spruceridge.record;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.spruceridge.net.Json;

/** Tests that terms and election numbers increase across elections of the old and new versions and reservations. */
final class TermRecordTest {
    @Test
    void recordWithoutReservedTokensHasBaseFormat() {
        assertEquals("{\"term\":1}", TermRecord.FIRST.write().toString());
        assertEquals("{\"term\":2}", TermRecord.FIRST.next().write().toString());
    }

    @Test
    void reservedTokensDoNotChangeElectionNumber() {
        TermRecord reserved =
                TermRecord.read(TermRecord.FIRST.withReservedTokens(64).write());
        assertEquals(new TermRecord(66, 2), reserved.next());
    }

    /** Guards against attempt numbers and fencing tokens that two leaders use during a rolling upgrade. */
    @Test
    void numbersOfLeadersIncreaseAcrossVersions() {
        SplittableRandom random = new SplittableRandom(1);
        JsonNode stored = TermRecord.FIRST.write();
        long highestToken = 1;
        long highestElection = 1;
        for (int i = 0; i < 10_000; i++) {
            TermRecord previous = TermRecord.read(stored);
            switch (random.nextInt(3)) {
                case 0 -> stored = previous.next().write();
                case 1 -> stored = Json.object().put("term", stored.path("term").asLong() + 1); // version 0.1
                default -> {
                    stored = previous.withReservedTokens(random.nextInt(1, 100)).write();
                    highestToken = TermRecord.read(stored).term();
                    continue;
                }
            }
            TermRecord elected = TermRecord.read(stored);
            assertTrue(elected.term() > highestToken, elected + " after token " + highestToken);
            assertTrue(elected.election() > highestElection, elected + " after election " + highestElection);
            highestToken = elected.term();
            highestElection = elected.election();
        }
    }
}
