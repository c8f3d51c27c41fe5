package org.spruceridge.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.sim.Fixtures;

/** What goes between nodes comes out as it went in, and nothing else is taken for it. */
final class PeerHeartbeatTest {
    private final PeerHeartbeat heartbeat = Fixtures.heartbeat();

    @Test
    void aHeartbeatIsReadAsItWasWritten() throws BadMessageException {
        assertEquals(heartbeat, PeerHeartbeat.read(heartbeat.write()));
    }

    @Test
    void whatIsCutShortOrForeignIsRefused() {
        byte[] whole = heartbeat.write();
        for (int length = 0; length < whole.length; length++) {
            byte[] part = Arrays.copyOf(whole, length);
            assertThrows(BadMessageException.class, () -> PeerHeartbeat.read(part));
        }
        assertThrows(BadMessageException.class, () -> PeerHeartbeat.read("GET / HTTP/1.1".getBytes()));
    }
}
