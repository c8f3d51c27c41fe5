package org.spruceridge.config;

import com.google.common.net.HostAndPort;

/** Where something listens: an IP number and a port. */
public record Address(String host, int port) {
    /** Reads {@code host:port}. */
    public static Address parse(String text) {
        HostAndPort parsed = HostAndPort.fromString(text);
        if (!parsed.hasPort() || parsed.getHost().isEmpty()) {
            throw new IllegalArgumentException("no port: " + text);
        }
        return new Address(parsed.getHost(), parsed.getPort());
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
