package org.sardinepost.core.settings;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.sardinepost.core.routing.ColdTolerance;
import org.sardinepost.core.routing.UpstreamId;

/** The settings of one daemon. */
public final class DaemonSettings {
    private static final Duration DEFAULT_DRAIN_WAIT = Duration.ofSeconds(5);
    private static final long DEFAULT_HELD_BYTES = 64L << 20;
    private static final long DEFAULT_REQUEST_LIMIT_BYTES = 4L << 20;
    private static final int DEFAULT_HEADER_LIMIT_BYTES = 16 << 10;
    private static final int DEFAULT_TOKEN_ENTRIES = 20_000;
    private static final int DEFAULT_CONNECTIONS = 2_000;
    private static final double DEFAULT_CONNECTION_SHARE = 0.25;
    private static final double DEFAULT_DESCRIPTOR_RESERVE = 0.2;
    private static final Duration DEFAULT_STALL_TIME = Duration.ofSeconds(2);
    private static final Duration DEFAULT_REFUSAL_PAUSE = Duration.ofSeconds(2);
    private static final int DEFAULT_CALL_LOG_LINES_PER_SECOND = 20;

    private final UpstreamId callerAddress;
    private final UpstreamId adminAddress;
    private final UpstreamId peerAddress;
    private final String failureDomain;
    private final String region;
    private final Duration drainWait;
    private final PlacementMode placement;
    private final double processorCapacity;
    private final Source configuration;
    private final Source vms;
    private final Optional<Duration> absentHold;
    private final List<UpstreamId> peers;
    private final long heldBytes;
    private final long requestLimitBytes;
    private final int headerLimitBytes;
    private final int tokenEntries;
    private final int connections;
    private final double connectionShare;
    private final Duration stallTime;
    private final Duration refusalPause;
    private final double descriptorReserve;
    private final Optional<String> requestIdHeader;
    private final int callLogLinesPerSecond;
    private final ColdTolerance coldTolerance;

    private DaemonSettings(Builder builder) {
        this.callerAddress = Objects.requireNonNull(builder.callerAddress);
        this.adminAddress = Objects.requireNonNull(builder.adminAddress);
        this.peerAddress = Objects.requireNonNull(builder.peerAddress);
        this.failureDomain = Objects.requireNonNull(builder.failureDomain);
        this.region = Objects.requireNonNull(builder.region);
        this.drainWait = builder.drainWait;
        this.placement = builder.placement;
        this.processorCapacity = builder.processorCapacity;
        this.configuration = Objects.requireNonNull(builder.configuration);
        this.vms = builder.vms;
        this.absentHold = builder.absentHold;
        this.peers = List.copyOf(builder.peers);
        this.heldBytes = builder.heldBytes;
        this.requestLimitBytes = builder.requestLimitBytes;
        this.headerLimitBytes = builder.headerLimitBytes;
        this.tokenEntries = builder.tokenEntries;
        this.connections = builder.connections;
        this.connectionShare = builder.connectionShare;
        this.stallTime = builder.stallTime;
        this.refusalPause = builder.refusalPause;
        this.descriptorReserve = builder.descriptorReserve;
        this.requestIdHeader = builder.requestIdHeader;
        this.callLogLinesPerSecond = builder.callLogLinesPerSecond;
        this.coldTolerance = builder.coldTolerance;
    }

    public static Builder builder() {
        return new Builder();
    }

    /** Returns the address that accepts calls over HTTP/1.1 and h2c. */
    public UpstreamId callerAddress() {
        return callerAddress;
    }

    /** Returns the address that serves health, readiness, metrics and status. */
    public UpstreamId adminAddress() {
        return adminAddress;
    }

    /** Returns the address that accepts connections from other daemons. */
    public UpstreamId peerAddress() {
        return peerAddress;
    }

    public String failureDomain() {
        return failureDomain;
    }

    public String region() {
        return region;
    }

    /** Returns the time, in a planned stop, from reporting not ready until the daemon stops accepting connections. */
    public Duration drainWait() {
        return drainWait;
    }

    public PlacementMode placement() {
        return placement;
    }

    /** Returns the processor capacity of the daemon, in cores of normal speed. */
    public double processorCapacity() {
        return processorCapacity;
    }

    public Source configuration() {
        return configuration;
    }

    public Source vms() {
        return vms;
    }

    /**
     * Returns the time for which an upstream that left the VM list gets new calls; if empty, until a connection to it
     * fails.
     */
    public Optional<Duration> absentHold() {
        return absentHold;
    }

    /** Returns the configured peer addresses of other daemons; those from the VM list are used in addition. */
    public List<UpstreamId> peers() {
        return peers;
    }

    /** Returns the limit on the total request and response bytes held at any time. */
    public long heldBytes() {
        return heldBytes;
    }

    public long requestLimitBytes() {
        return requestLimitBytes;
    }

    public int headerLimitBytes() {
        return headerLimitBytes;
    }

    /** Returns the maximum number of issued idempotency tokens that have not expired. */
    public int tokenEntries() {
        return tokenEntries;
    }

    /** Returns the maximum number of open connections of callers. */
    public int connections() {
        return connections;
    }

    /** Returns the share of the memory account up to which one connection may have more than one call at a time. */
    public double connectionShare() {
        return connectionShare;
    }

    /** Returns the share of the descriptors of the process that connections of callers leave free. */
    public double descriptorReserve() {
        return descriptorReserve;
    }

    /** Returns the time without progress after which a client counts as stalled. */
    public Duration stallTime() {
        return stallTime;
    }

    /** Returns the longest pause between a refused request and one that was sent ahead of the refusal. */
    public Duration refusalPause() {
        return refusalPause;
    }

    /** Returns the request header that contains the ID of the request, for the log. */
    public Optional<String> requestIdHeader() {
        return requestIdHeader;
    }

    /** Returns the maximum number of log lines about calls per second. */
    public int callLogLinesPerSecond() {
        return callLogLinesPerSecond;
    }

    /** Returns how far the calls to a cold upstream may exceed its warm-up rate. */
    public ColdTolerance coldTolerance() {
        return coldTolerance;
    }

    /** Builds settings; values that are not set have the defaults of docs/operators.md. */
    public static final class Builder {
        private UpstreamId callerAddress;
        private UpstreamId adminAddress;
        private UpstreamId peerAddress;
        private String failureDomain;
        private String region;
        private Duration drainWait = DEFAULT_DRAIN_WAIT;
        private PlacementMode placement = PlacementMode.OWN;
        private double processorCapacity = 1;
        private Source configuration;
        private Source vms = Source.none();
        private Optional<Duration> absentHold = Optional.empty();
        private List<UpstreamId> peers = List.of();
        private long heldBytes = DEFAULT_HELD_BYTES;
        private long requestLimitBytes = DEFAULT_REQUEST_LIMIT_BYTES;
        private int headerLimitBytes = DEFAULT_HEADER_LIMIT_BYTES;
        private int tokenEntries = DEFAULT_TOKEN_ENTRIES;
        private int connections = DEFAULT_CONNECTIONS;
        private double connectionShare = DEFAULT_CONNECTION_SHARE;
        private Duration stallTime = DEFAULT_STALL_TIME;
        private Duration refusalPause = DEFAULT_REFUSAL_PAUSE;
        private double descriptorReserve = DEFAULT_DESCRIPTOR_RESERVE;
        private Optional<String> requestIdHeader = Optional.empty();
        private int callLogLinesPerSecond = DEFAULT_CALL_LOG_LINES_PER_SECOND;
        private ColdTolerance coldTolerance = ColdTolerance.NONE;

        private Builder() {}

        public Builder callerAddress(UpstreamId value) {
            this.callerAddress = value;
            return this;
        }

        public Builder adminAddress(UpstreamId value) {
            this.adminAddress = value;
            return this;
        }

        public Builder peerAddress(UpstreamId value) {
            this.peerAddress = value;
            return this;
        }

        public Builder failureDomain(String value) {
            this.failureDomain = value;
            return this;
        }

        public Builder region(String value) {
            this.region = value;
            return this;
        }

        public Builder drainWait(Duration value) {
            this.drainWait = value;
            return this;
        }

        public Builder processorCapacity(double value) {
            this.processorCapacity = value;
            return this;
        }

        public Builder placement(PlacementMode value) {
            this.placement = value;
            return this;
        }

        public Builder configuration(Source value) {
            this.configuration = value;
            return this;
        }

        public Builder vms(Source value) {
            this.vms = value;
            return this;
        }

        public Builder absentHold(Optional<Duration> value) {
            this.absentHold = value;
            return this;
        }

        public Builder peers(List<UpstreamId> value) {
            this.peers = value;
            return this;
        }

        public Builder heldBytes(long value) {
            this.heldBytes = value;
            return this;
        }

        public Builder requestLimitBytes(long value) {
            this.requestLimitBytes = value;
            return this;
        }

        public Builder headerLimitBytes(int value) {
            this.headerLimitBytes = value;
            return this;
        }

        public Builder tokenEntries(int value) {
            this.tokenEntries = value;
            return this;
        }

        public Builder connections(int value) {
            this.connections = value;
            return this;
        }

        public Builder connectionShare(double value) {
            this.connectionShare = value;
            return this;
        }

        public Builder descriptorReserve(double value) {
            this.descriptorReserve = value;
            return this;
        }

        public Builder stallTime(Duration value) {
            this.stallTime = value;
            return this;
        }

        public Builder refusalPause(Duration value) {
            this.refusalPause = value;
            return this;
        }

        public Builder requestIdHeader(Optional<String> value) {
            this.requestIdHeader = value;
            return this;
        }

        public Builder callLogLinesPerSecond(int value) {
            this.callLogLinesPerSecond = value;
            return this;
        }

        public Builder coldTolerance(ColdTolerance value) {
            this.coldTolerance = value;
            return this;
        }

        public DaemonSettings build() {
            return new DaemonSettings(this);
        }
    }
}
