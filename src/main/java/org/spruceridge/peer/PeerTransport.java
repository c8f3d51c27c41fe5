package org.spruceridge.peer;

import java.util.function.Consumer;

/** Carries frames between the controller nodes. Any frame may be lost. */
public interface PeerTransport {
    /** Passes each frame received from now on to {@code receiver}, on the event loop. */
    void start(Consumer<byte[]> receiver);

    /** Sends a frame to every other node to which there is a connection. */
    void broadcast(byte[] frame);
}
