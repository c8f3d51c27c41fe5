package org.spruceridge.config;

import com.google.common.net.HostAndPort;

/** A network address: an IP address and a port. */
public record Address(String host, int port) {
    /**
     * Parses {@code host:port}.
     *
     * @throws IllegalArgumentException if the text does not have this form
     */
    public static Address parse(String text) {
        HostAndPort hostAndPort = HostAndPort.fromString(text);
        if (!hostAndPort.hasPort() || hostAndPort.getHost().isEmpty()) {
            throw new IllegalArgumentException("no port: " + text);
        }
        return new Address(hostAndPort.getHost(), hostAndPort.getPort());
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Address address && port == address.port && host.equals(address.host);
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
