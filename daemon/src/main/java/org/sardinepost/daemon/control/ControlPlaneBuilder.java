package org.sardinepost.daemon.control;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.security.SecureRandom;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.DoubleSupplier;
import java.util.function.Function;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.eclipse.jetty.util.thread.ScheduledExecutorScheduler;
import org.eclipse.jetty.util.thread.Scheduler;
import org.sardinepost.core.ini.ValidationResult;
import org.sardinepost.core.membership.VmList;
import org.sardinepost.core.routing.ColdTolerance;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.core.settings.DaemonSettings;
import org.sardinepost.core.text.ServicesText;
import org.sardinepost.daemon.placement.TimedCentralDispatcher;
import org.sardinepost.peer.PeerTimings;

/** Builds a {@link ControlPlane}; the routing target and the two readers are required. */
public final class ControlPlaneBuilder {
    /**
     * Bandwidth kept free of load batches, for watches and heartbeats. Heartbeats take 9 KB/s with headers at 100
     * daemons.
     */
    private static final long RESERVED_BYTES_PER_SECOND = 10_000;

    final DaemonSettings settings;
    final long incarnation;
    Function<String, ValidationResult<ServicesText>> textReader;
    Function<String, ValidationResult<VmList>> vmListReader;
    RoutingTarget target;
    HandoverReceiver handoverReceiver = ControlPlaneBuilder::refuseHandover;
    Supplier<UpstreamId> callerAddress;
    Optional<UpstreamId> advertisedAddress = Optional.empty();
    Clock clock = Clock.system();
    DoubleSupplier random;
    LongSupplier randomLong;
    PeerTimings timings = PeerTimings.defaults();
    long reservedBytesPerSecond = RESERVED_BYTES_PER_SECOND;
    Optional<PrometheusRegistry> metrics = Optional.empty();
    Function<String, Optional<TimedCentralDispatcher>> centralDispatchers = service -> Optional.empty();
    Scheduler scheduler = new ScheduledExecutorScheduler("placement", true);
    Optional<PolledSource> polledSource = Optional.empty();
    double processorCapacity;
    ColdTolerance coldTolerance;

    ControlPlaneBuilder(DaemonSettings settings, long incarnation) {
        SecureRandom secure = new SecureRandom();
        this.settings = Objects.requireNonNull(settings);
        this.incarnation = incarnation;
        this.callerAddress = settings::callerAddress;
        this.processorCapacity = settings.processorCapacity();
        this.coldTolerance = settings.coldTolerance();
        this.random = secure::nextDouble;
        this.randomLong = secure::nextLong;
    }

    public ControlPlaneBuilder textReader(Function<String, ValidationResult<ServicesText>> value) {
        this.textReader = value;
        return this;
    }

    public ControlPlaneBuilder vmListReader(Function<String, ValidationResult<VmList>> value) {
        this.vmListReader = value;
        return this;
    }

    public ControlPlaneBuilder target(RoutingTarget value) {
        this.target = value;
        return this;
    }

    /**
     * Supplies the caller address sent to peers. It is called after the start, when a port 0 in the settings has been
     * assigned.
     */
    public ControlPlaneBuilder callerAddress(Supplier<UpstreamId> value) {
        this.callerAddress = value;
        return this;
    }

    /** Imports token tables that peers hand over; by default they are refused. */
    public ControlPlaneBuilder handoverReceiver(HandoverReceiver value) {
        this.handoverReceiver = value;
        return this;
    }

    /** Sets the peer address sent to peers instead of the listening address, for example that of a relay in a test. */
    ControlPlaneBuilder advertisedAddress(UpstreamId value) {
        this.advertisedAddress = Optional.of(value);
        return this;
    }

    public ControlPlaneBuilder clock(Clock value) {
        this.clock = value;
        return this;
    }

    public ControlPlaneBuilder timings(PeerTimings value) {
        this.timings = value;
        return this;
    }

    public ControlPlaneBuilder metrics(PrometheusRegistry value) {
        this.metrics = Optional.of(value);
        return this;
    }

    /** Sets how far calls to a cold upstream may exceed its warm-up rate; by default that in the settings. */
    public ControlPlaneBuilder coldTolerance(ColdTolerance value) {
        this.coldTolerance = value;
        return this;
    }

    /** Sets the processor capacity of this daemon, in cores of normal speed; by default that in the settings. */
    public ControlPlaneBuilder processorCapacity(double value) {
        this.processorCapacity = value;
        return this;
    }

    /** Sets a shared source of the services text and the VM list; if empty, the sources in the settings are used. */
    public ControlPlaneBuilder polledSource(Optional<PolledSource> value) {
        this.polledSource = value;
        return this;
    }

    /**
     * Sets the function that returns the dispatcher for the calls of all daemons to a service; empty if this daemon has
     * none for it.
     */
    public ControlPlaneBuilder centralDispatchers(Function<String, Optional<TimedCentralDispatcher>> value) {
        this.centralDispatchers = value;
        return this;
    }

    /** Runs the timeouts of placement requests to peers. The caller starts and stops it. */
    public ControlPlaneBuilder scheduler(Scheduler value) {
        this.scheduler = value;
        return this;
    }

    public ControlPlane build() {
        Objects.requireNonNull(textReader);
        Objects.requireNonNull(vmListReader);
        Objects.requireNonNull(target);
        return new ControlPlane(this);
    }

    private static CompletableFuture<Void> refuseHandover(long incarnation, List<byte[]> frames) {
        return CompletableFuture.failedFuture(
                new HandoverFailedException("this daemon does not accept token tables; choose another peer"));
    }
}
