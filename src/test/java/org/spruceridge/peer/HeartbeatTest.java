package org.spruceridge.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.common.collect.ImmutableList;
import com.google.common.collect.ImmutableMap;
import java.util.Arrays;
import org.junit.jupiter.api.Test;
import org.spruceridge.net.BadMessageException;
import org.spruceridge.peer.Heartbeat.Progress;

/** What goes between nodes comes out as it went in, and nothing else is taken for it. */
final class HeartbeatTest {
    private final Heartbeat heartbeat = new Heartbeat(
            "n0",
            true,
            false,
            7,
            ImmutableMap.of("j-000001", new Progress(3, 4)),
            ImmutableList.of("j-000002"),
            new MemberVersion(2, "0.2.0"));

    @Test
    void aHeartbeatIsReadAsItWasWritten() throws BadMessageException {
        assertEquals(heartbeat, Heartbeat.read(heartbeat.write()));
    }

    @Test
    void whatIsCutShortOrForeignIsRefused() {
        byte[] whole = heartbeat.write();
        for (int length = 0; length < whole.length; length++) {
            byte[] part = Arrays.copyOf(whole, length);
            assertThrows(BadMessageException.class, () -> Heartbeat.read(part));
        }
        assertThrows(BadMessageException.class, () -> Heartbeat.read("GET / HTTP/1.1".getBytes()));
    }
}
