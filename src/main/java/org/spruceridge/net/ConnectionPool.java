package org.spruceridge.net;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.spruceridge.config.Address;

/** The idle connections of the client, by address. Used on the event loop only. */
final class ConnectionPool {
    /**
     * The maximum idle time of a connection. After a longer time, the peer might have disappeared without closing it.
     */
    private static final long MAX_IDLE_NANOS = Durations.nanos(90);

    private final Loop loop;
    private final ConnectionLimiter connectionLimiter;
    private final Map<Address, Deque<ClientConnection>> idleByAddress = new HashMap<>();
    /** All idle connections, least recently used first. */
    private final Set<ClientConnection> idleByLastUse = new LinkedHashSet<>();

    ConnectionPool(Loop loop, ConnectionLimiter connectionLimiter) {
        this.loop = loop;
        this.connectionLimiter = connectionLimiter;
    }

    /**
     * Removes and returns the most recently used idle connection to the address; empty if no such connection is open.
     */
    Optional<ClientConnection> take(Address address) {
        Deque<ClientConnection> idleConnections = idleByAddress.get(address);
        while (idleConnections != null && !idleConnections.isEmpty()) {
            ClientConnection connection = idleConnections.peek();
            remove(connection);
            if (connection.isActive()) {
                return Optional.of(connection);
            }
        }
        return Optional.empty();
    }

    /** Keeps a connection for further requests to its address. */
    void add(ClientConnection connection) {
        connection.setIdleSince(loop.nanos());
        idleByAddress
                .computeIfAbsent(connection.address(), address -> new ArrayDeque<>())
                .push(connection);
        idleByLastUse.add(connection);
        closeExpired();
        connectionLimiter.closeExcessIdleConnections();
    }

    /** Removes a connection from the pool; does nothing if it is not idle. */
    void remove(ClientConnection connection) {
        if (!idleByLastUse.remove(connection)) {
            return;
        }
        Deque<ClientConnection> idleConnections = idleByAddress.get(connection.address());
        idleConnections.remove(connection);
        if (idleConnections.isEmpty()) {
            idleByAddress.remove(connection.address());
        }
    }

    /**
     * Closes the least recently used idle connection. Returns false if no connection is idle. Each machine to which a
     * command was sent has an idle connection in this pool, even long after the machine has gone. If none were closed,
     * these connections and the connections for heartbeats would use up the sockets of a leader.
     */
    boolean closeLeastRecentlyUsed() {
        if (idleByLastUse.isEmpty()) {
            return false;
        }
        idleByLastUse.iterator().next().close();
        return true;
    }

    private void closeExpired() {
        long now = loop.nanos();
        while (!idleByLastUse.isEmpty() && now - idleByLastUse.iterator().next().idleSinceNanos() > MAX_IDLE_NANOS) {
            closeLeastRecentlyUsed();
        }
    }
}
