package org.spruceridge.peer;

import java.util.function.Consumer;

/** Carries frames between the controller nodes; any of them may be lost. */
public interface PeerTransport {
    /** Hands on whatever comes in from now on. */
    void start(Consumer<byte[]> taker);

    /** Sends a frame to every other node that can be reached. */
    void broadcast(byte[] frame);
}
