package org.spruceridge.config;

import com.google.common.net.HostAndPort;

/** A network address: an IP address and a port. */
public record Address(String host, int port) {
    /**
     * Parses {@code host:port}.
     *
     * @throws IllegalArgumentException if the text is not of this form
     */
    public static Address parse(String text) {
        HostAndPort parsed = HostAndPort.fromString(text);
        if (!parsed.hasPort() || parsed.getHost().isEmpty()) {
            throw new IllegalArgumentException("no port: " + text);
        }
        return new Address(parsed.getHost(), parsed.getPort());
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Address that && port == that.port && host.equals(that.host);
    }

    @Override
    public int hashCode() {
        return 31 * host.hashCode() + port;
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
