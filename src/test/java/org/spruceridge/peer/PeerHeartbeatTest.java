package org.spruceridge.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.sim.Fixtures;

/** What goes between nodes comes out as it went in, and nothing else is taken for it. */
final class PeerHeartbeatTest {
    private final PeerHeartbeat heartbeat = Fixtures.heartbeat();

    @Test
    void aHeartbeatIsReadAsItWasWritten() throws BadMessageException {
        assertEquals(heartbeat, PeerHeartbeatCodec.decode(PeerHeartbeatCodec.encode(heartbeat)));
    }

    @Test
    void whatIsCutShortOrForeignIsRefused() {
        byte[] whole = PeerHeartbeatCodec.encode(heartbeat);
        for (int length = 0; length < whole.length; length++) {
            byte[] part = Arrays.copyOf(whole, length);
            assertThrows(BadMessageException.class, () -> PeerHeartbeatCodec.decode(part));
        }
        assertThrows(
                BadMessageException.class,
                () -> PeerHeartbeatCodec.decode("GET / HTTP/1.1".getBytes(StandardCharsets.UTF_8)));
    }
}
