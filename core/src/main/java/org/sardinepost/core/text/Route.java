package org.sardinepost.core.text;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.sardinepost.core.call.CallContext;

/**
 * Routes the calls to one host and path prefix to one service, or to several services by weight.
 *
 * <p>The settings for calls belong to the route, because the calls to one service may differ in urgency and in whether
 * they may be retried.
 */
public final class Route {
    private static final Duration DEFAULT_TIME_LIMIT = Duration.ofSeconds(2);

    private final String name;
    private final String host;
    private final String pathPrefix;
    private final List<RouteShare> shares;
    private final int totalWeight;
    private final boolean idempotent;
    private final int attempts;
    private final Duration timeLimit;
    private final Duration targetLatency;
    private final int priority;

    private Route(Builder builder) {
        this.name = Objects.requireNonNull(builder.name);
        this.host = Objects.requireNonNull(builder.host);
        this.pathPrefix = Objects.requireNonNull(builder.pathPrefix);
        this.shares = List.copyOf(builder.shares);
        this.totalWeight = shares.stream().mapToInt(RouteShare::weight).sum();
        this.idempotent = builder.idempotent;
        this.attempts = builder.attempts;
        this.timeLimit = builder.timeLimit;
        this.targetLatency = builder.targetLatency == null ? builder.timeLimit : builder.targetLatency;
        this.priority = builder.priority;
        if (totalWeight <= 0) {
            throw new IllegalArgumentException("route " + name + " has no share with a weight above 0");
        }
    }

    public static Builder builder(String name) {
        return new Builder(name);
    }

    public String name() {
        return name;
    }

    /** Returns the host in lower case, without a port. */
    public String host() {
        return host;
    }

    /**
     * Returns the prefix of the paths that the route matches; the route with the longest matching prefix gets a call.
     */
    public String pathPrefix() {
        return pathPrefix;
    }

    public List<RouteShare> shares() {
        return shares;
    }

    /** Returns whether a request may be executed more than once. */
    public boolean idempotent() {
        return idempotent;
    }

    /** Returns the maximum number of upstreams that one request may be sent to. */
    public int attempts() {
        return attempts;
    }

    /** Returns the maximum time that a caller waits for a response. */
    public Duration timeLimit() {
        return timeLimit;
    }

    /** Returns the time within which a response has its full value to the caller. */
    public Duration targetLatency() {
        return targetLatency;
    }

    /** Returns the priority among the calls of a service; 0 is the most urgent. */
    public int priority() {
        return priority;
    }

    /**
     * Selects the service that gets a call.
     *
     * @param random a number from 0 (inclusive) to 1 (exclusive), uniformly distributed over the calls
     */
    public String service(double random) {
        double remaining = random * totalWeight;
        for (RouteShare share : shares) {
            remaining -= share.weight();
            if (remaining < 0) {
                return share.service();
            }
        }
        return shares.get(shares.size() - 1).service();
    }

    /** Builds a route; values that are not set have the defaults of docs/operators.md. */
    public static final class Builder {
        private final String name;
        private String host;
        private String pathPrefix = "/";
        private List<RouteShare> shares = List.of();
        private boolean idempotent;
        private int attempts = CallContext.MAX_ATTEMPTS;
        private Duration timeLimit = DEFAULT_TIME_LIMIT;
        private Duration targetLatency;
        private int priority;

        private Builder(String name) {
            this.name = name;
        }

        public Builder host(String value) {
            this.host = value;
            return this;
        }

        public Builder pathPrefix(String value) {
            this.pathPrefix = value;
            return this;
        }

        public Builder shares(List<RouteShare> value) {
            this.shares = value;
            return this;
        }

        public Builder idempotent(boolean value) {
            this.idempotent = value;
            return this;
        }

        public Builder attempts(int value) {
            this.attempts = value;
            return this;
        }

        public Builder timeLimit(Duration value) {
            this.timeLimit = value;
            return this;
        }

        /** Sets the target latency, which defaults to the time limit. */
        public Builder targetLatency(Duration value) {
            this.targetLatency = value;
            return this;
        }

        public Builder priority(int value) {
            this.priority = value;
            return this;
        }

        public Route build() {
            return new Route(this);
        }
    }
}
