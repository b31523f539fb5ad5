package org.sardinepost.daemon;

import java.util.Objects;
import java.util.Optional;
import java.util.function.UnaryOperator;
import org.sardinepost.daemon.call.HeldAnswer;
import org.sardinepost.daemon.call.UpstreamProtocol;
import org.sardinepost.daemon.control.PolledSource;

/** What a platform may replace in a daemon; by default the daemon's own protocols. */
public final class DaemonParts {
    private final UpstreamProtocol upstreamProtocol;
    private final UnaryOperator<HeldAnswer> ownAnswers;
    private final Optional<PolledSource> polledSource;

    private DaemonParts(Builder builder) {
        this.upstreamProtocol = Objects.requireNonNull(builder.upstreamProtocol);
        this.ownAnswers = Objects.requireNonNull(builder.ownAnswers);
        this.polledSource = builder.polledSource;
    }

    /** The daemon's own protocols and the sources that its settings name. */
    public static DaemonParts own() {
        return builder().build();
    }

    public static Builder builder() {
        return new Builder();
    }

    UpstreamProtocol upstreamProtocol() {
        return upstreamProtocol;
    }

    /** Translates the answers that the daemon makes itself for the callers of a platform. */
    UnaryOperator<HeldAnswer> ownAnswers() {
        return ownAnswers;
    }

    /** The source of the services text and the VM list instead of those that the settings name. */
    Optional<PolledSource> polledSource() {
        return polledSource;
    }

    /** Builds the parts. */
    public static final class Builder {
        private UpstreamProtocol upstreamProtocol = UpstreamProtocol.own();
        private UnaryOperator<HeldAnswer> ownAnswers = UnaryOperator.identity();
        private Optional<PolledSource> polledSource = Optional.empty();

        private Builder() {}

        public Builder upstreamProtocol(UpstreamProtocol value) {
            this.upstreamProtocol = value;
            return this;
        }

        public Builder ownAnswers(UnaryOperator<HeldAnswer> value) {
            this.ownAnswers = value;
            return this;
        }

        public Builder polledSource(PolledSource value) {
            this.polledSource = Optional.of(value);
            return this;
        }

        public DaemonParts build() {
            return new DaemonParts(this);
        }
    }
}
