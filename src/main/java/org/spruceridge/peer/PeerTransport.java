package org.spruceridge.peer;

import java.util.function.Consumer;

/** Transports frames between the controller nodes, without guaranteed delivery. */
public interface PeerTransport {
    /** Starts receiving; {@code frameReceiver} is called on the event loop for each frame. */
    void start(Consumer<byte[]> frameReceiver);

    /** Sends a frame to every other node to which there is a connection. */
    void broadcast(byte[] frame);
}
