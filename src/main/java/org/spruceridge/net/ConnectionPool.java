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
    /** The peer of a connection that was idle for longer may be gone without notice. */
    private static final long MAX_IDLE_NANOS = Durations.nanos(90);

    private final Loop loop;
    private final ConnectionLimiter connectionLimiter;
    private final Map<Address, Deque<ClientConnection>> idleByAddress = new HashMap<>();
    /** All idle connections, the least recently used first. */
    private final Set<ClientConnection> idleByUse = new LinkedHashSet<>();

    ConnectionPool(Loop loop, ConnectionLimiter connectionLimiter) {
        this.loop = loop;
        this.connectionLimiter = connectionLimiter;
    }

    /** Takes the most recently used idle connection to the address out of the pool, if there is one. */
    Optional<ClientConnection> take(Address to) {
        Deque<ClientConnection> idle = idleByAddress.get(to);
        while (idle != null && !idle.isEmpty()) {
            ClientConnection connection = idle.peek();
            remove(connection);
            if (connection.isActive()) {
                return Optional.of(connection);
            }
        }
        return Optional.empty();
    }

    /** Keeps a connection for further requests to its address. */
    void add(ClientConnection connection) {
        connection.idleSince(loop.nanos());
        idleByAddress
                .computeIfAbsent(connection.to(), address -> new ArrayDeque<>())
                .push(connection);
        idleByUse.add(connection);
        closeExpired();
        connectionLimiter.trim();
    }

    /** Takes a connection out; does nothing if it is not idle. */
    void remove(ClientConnection connection) {
        if (!idleByUse.remove(connection)) {
            return;
        }
        Deque<ClientConnection> idle = idleByAddress.get(connection.to());
        idle.remove(connection);
        if (idle.isEmpty()) {
            idleByAddress.remove(connection.to());
        }
    }

    /**
     * Closes the least recently used idle connection; false if none is idle. Each machine that was sent a command has an
     * idle connection here, also long after it has gone: together with the connections for heartbeats they would use up
     * the sockets of a leader.
     */
    boolean closeLeastRecentlyUsed() {
        if (idleByUse.isEmpty()) {
            return false;
        }
        idleByUse.iterator().next().close();
        return true;
    }

    private void closeExpired() {
        long now = loop.nanos();
        while (!idleByUse.isEmpty() && now - idleByUse.iterator().next().idleSince() > MAX_IDLE_NANOS) {
            closeLeastRecentlyUsed();
        }
    }
}
