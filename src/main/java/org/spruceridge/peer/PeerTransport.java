package org.spruceridge.peer;

import java.util.function.Consumer;

/** Transports frames between the controller nodes, without guaranteed delivery. */
public interface PeerTransport {
    /** Starts receiving frames. Each frame is passed to {@code frameReceiver} on the event loop. */
    void start(Consumer<byte[]> frameReceiver);

    /** Sends a frame to each connected peer. */
    void broadcast(byte[] frame);
}
