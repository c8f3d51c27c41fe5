package org.spruceridge.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.sim.Fixtures;

/** Tests that decoding an encoded heartbeat returns an equal heartbeat, and that invalid frames are rejected. */
final class PeerHeartbeatTest {
    private final PeerHeartbeat heartbeat = Fixtures.heartbeat();

    @Test
    void heartbeatRoundTripsThroughCodec() throws BadMessageException {
        assertEquals(heartbeat, PeerHeartbeatCodec.decode(PeerHeartbeatCodec.encode(heartbeat)));
    }

    @Test
    void truncatedOrForeignFrameIsRejected() {
        byte[] frame = PeerHeartbeatCodec.encode(heartbeat);
        for (int length = 0; length < frame.length; length++) {
            byte[] truncated = Arrays.copyOf(frame, length);
            assertThrows(BadMessageException.class, () -> PeerHeartbeatCodec.decode(truncated));
        }
        assertThrows(
                BadMessageException.class,
                () -> PeerHeartbeatCodec.decode("GET / HTTP/1.1".getBytes(StandardCharsets.UTF_8)));
    }

    @Test
    void frameWithTooFewFieldsIsRejectedWithMinimumFieldCount() {
        byte[] arrayOfFiveFields = {(byte) 0x95};
        assertEquals(
                "a peer heartbeat has fewer than 6 fields",
                assertThrows(BadMessageException.class, () -> PeerHeartbeatCodec.decode(arrayOfFiveFields))
                        .getMessage());
    }
}
