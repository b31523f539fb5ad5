package org.sardinepost.core.routing;

import java.util.Objects;
import java.util.Optional;

/** The IP address and port of one upstream. */
public record UpstreamId(String host, int port) {
    private static final int MAX_PORT = 65_535;

    public UpstreamId {
        Objects.requireNonNull(host);
    }

    /** Parses {@code HOST:PORT}; empty if the text does not have this format. */
    public static Optional<UpstreamId> parse(String text) {
        int colon = text.lastIndexOf(':');
        if (colon <= 0) {
            return Optional.empty();
        }
        int port;
        try {
            port = Integer.parseInt(text.substring(colon + 1));
        } catch (NumberFormatException e) {
            return Optional.empty();
        }
        if (port < 1 || port > MAX_PORT) {
            return Optional.empty();
        }
        return Optional.of(new UpstreamId(text.substring(0, colon), port));
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
