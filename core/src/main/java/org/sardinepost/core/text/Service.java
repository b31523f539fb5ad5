package org.sardinepost.core.text;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.sardinepost.core.routing.Upstream;

/** A service that is defined in the services text. */
public final class Service {
    private static final Duration DEFAULT_DEADLINE = Duration.ofSeconds(2);
    private static final double DEFAULT_RETRY_BUDGET_SHARE = 0.1;
    private static final long DEFAULT_ANSWER_LIMIT_BYTES = 4L << 20;
    private static final int DEFAULT_SLOTS = 3;
    private static final int DEFAULT_MEASURING_BUDGET_PER_SECOND = 20;

    private final String name;
    private final boolean external;
    private final boolean directCalls;
    private final List<String> hosts;
    private final List<String> dependsOn;
    private final List<Upstream> upstreams;
    private final int slots;
    private final Set<String> idempotentMethods;
    private final List<String> idempotentPaths;
    private final TokenMode tokens;
    private final Duration deadline;
    private final double retryBudgetShare;
    private final int measuringBudgetPerSecond;
    private final Preference preference;
    private final long answerLimitBytes;
    private final Optional<String> healthPath;
    private final Optional<WarmUp> warmUp;

    private Service(Builder builder) {
        this.name = Objects.requireNonNull(builder.name);
        this.external = builder.external;
        this.directCalls = builder.directCalls;
        this.hosts = List.copyOf(builder.hosts);
        this.dependsOn = List.copyOf(builder.dependsOn);
        this.upstreams = List.copyOf(builder.upstreams);
        this.slots = builder.slots;
        this.idempotentMethods = Set.copyOf(builder.idempotentMethods);
        this.idempotentPaths = List.copyOf(builder.idempotentPaths);
        this.tokens = builder.tokens;
        this.deadline = builder.deadline;
        this.retryBudgetShare = builder.retryBudgetShare;
        this.measuringBudgetPerSecond = builder.measuringBudgetPerSecond;
        this.preference = builder.preference;
        this.answerLimitBytes = builder.answerLimitBytes;
        this.healthPath = builder.healthPath;
        this.warmUp = builder.warmUp;
    }

    public static Builder builder(String name) {
        return new Builder(name);
    }

    public String name() {
        return name;
    }

    /** Returns whether external calls, which have no call context, are allowed. */
    public boolean external() {
        return external;
    }

    /** Returns whether a Host header with the name or a host of the service selects it; otherwise only routes do. */
    public boolean directCalls() {
        return directCalls;
    }

    /** Returns the additional values of the Host header that identify this service. */
    public List<String> hosts() {
        return hosts;
    }

    /** Returns the services that this service may call. */
    public List<String> dependsOn() {
        return dependsOn;
    }

    /** Returns the upstreams in the services text; those from the VM list are used in addition. */
    public List<Upstream> upstreams() {
        return upstreams;
    }

    /** Returns the number of calls that one upstream processes concurrently. */
    public int slots() {
        return slots;
    }

    public Set<String> idempotentMethods() {
        return idempotentMethods;
    }

    /**
     * Returns the path patterns of requests that are idempotent with any method; a final {@code *} matches any suffix.
     */
    public List<String> idempotentPaths() {
        return idempotentPaths;
    }

    public TokenMode tokens() {
        return tokens;
    }

    /** Returns the time allowed for a call that has no deadline of its own. */
    public Duration deadline() {
        return deadline;
    }

    /** Returns the maximum number of retries, as a fraction of the calls to the service. */
    public double retryBudgetShare() {
        return retryBudgetShare;
    }

    /** Returns the maximum number of measurement messages per second, summed over all daemons. */
    public int measuringBudgetPerSecond() {
        return measuringBudgetPerSecond;
    }

    public Preference preference() {
        return preference;
    }

    /** Returns the maximum size of a response that is buffered until it is complete. */
    public long answerLimitBytes() {
        return answerLimitBytes;
    }

    /** Returns the path on which upstreams report their current load; empty if they are not queried. */
    public Optional<String> healthPath() {
        return healthPath;
    }

    /** Returns how upstreams behave after their start; empty if they accept all calls at once. */
    public Optional<WarmUp> warmUp() {
        return warmUp;
    }

    /** Returns whether a request with this method and path may be executed more than once. */
    public boolean idempotent(String method, String path) {
        if (idempotentMethods.contains(method)) {
            return true;
        }
        return idempotentPaths.stream().anyMatch(pattern -> matches(pattern, path));
    }

    private static boolean matches(String pattern, String path) {
        if (pattern.endsWith("*")) {
            return path.startsWith(pattern.substring(0, pattern.length() - 1));
        }
        return path.equals(pattern);
    }

    /** Builds a service; values that are not set have the defaults of docs/operators.md. */
    public static final class Builder {
        private final String name;
        private boolean external;
        private boolean directCalls = true;
        private List<String> hosts = List.of();
        private List<String> dependsOn = List.of();
        private List<Upstream> upstreams = List.of();
        private int slots = DEFAULT_SLOTS;
        private Set<String> idempotentMethods = Set.of("GET", "HEAD", "OPTIONS");
        private List<String> idempotentPaths = List.of();
        private TokenMode tokens = TokenMode.REQUIRED;
        private Duration deadline = DEFAULT_DEADLINE;
        private double retryBudgetShare = DEFAULT_RETRY_BUDGET_SHARE;
        private int measuringBudgetPerSecond = DEFAULT_MEASURING_BUDGET_PER_SECOND;
        private Preference preference = Preference.LATENCY;
        private long answerLimitBytes = DEFAULT_ANSWER_LIMIT_BYTES;
        private Optional<String> healthPath = Optional.empty();
        private Optional<WarmUp> warmUp = Optional.empty();

        private Builder(String name) {
            this.name = name;
        }

        public Builder external(boolean value) {
            this.external = value;
            return this;
        }

        public Builder directCalls(boolean value) {
            this.directCalls = value;
            return this;
        }

        public Builder hosts(List<String> value) {
            this.hosts = value;
            return this;
        }

        public Builder dependsOn(List<String> value) {
            this.dependsOn = value;
            return this;
        }

        public Builder upstreams(List<Upstream> value) {
            this.upstreams = value;
            return this;
        }

        public Builder slots(int value) {
            this.slots = value;
            return this;
        }

        public Builder idempotentMethods(Set<String> value) {
            this.idempotentMethods = value;
            return this;
        }

        public Builder idempotentPaths(List<String> value) {
            this.idempotentPaths = value;
            return this;
        }

        public Builder tokens(TokenMode value) {
            this.tokens = value;
            return this;
        }

        public Builder deadline(Duration value) {
            this.deadline = value;
            return this;
        }

        public Builder retryBudgetShare(double value) {
            this.retryBudgetShare = value;
            return this;
        }

        public Builder measuringBudgetPerSecond(int value) {
            this.measuringBudgetPerSecond = value;
            return this;
        }

        public Builder preference(Preference value) {
            this.preference = value;
            return this;
        }

        public Builder answerLimitBytes(long value) {
            this.answerLimitBytes = value;
            return this;
        }

        public Builder healthPath(Optional<String> value) {
            this.healthPath = value;
            return this;
        }

        public Builder warmUp(Optional<WarmUp> value) {
            this.warmUp = value;
            return this;
        }

        public Service build() {
            return new Service(this);
        }
    }
}
