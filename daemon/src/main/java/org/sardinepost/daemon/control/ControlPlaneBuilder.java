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
import org.sardinepost.core.ini.Checked;
import org.sardinepost.core.membership.VmList;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.core.settings.DaemonSettings;
import org.sardinepost.core.text.ServicesText;
import org.sardinepost.daemon.placement.CentralPlaces;
import org.sardinepost.peer.PeerTimings;

/** Builds the control side; the routing target and the readers are required. */
public final class ControlPlaneBuilder {
    /**
     * Kept for heartbeats (9 KB/s at 100 daemons with headers) and watches, so that load batches never crowd them out.
     */
    private static final long RESERVE_BYTES_PER_SECOND = 10_000;

    final DaemonSettings settings;
    final long incarnation;
    Function<String, Checked<ServicesText>> textReader;
    Function<String, Checked<VmList>> vmListReader;
    RoutingTarget target;
    HandoverReceiver handoverReceiver = ControlPlaneBuilder::refuseHandover;
    Supplier<UpstreamId> callerAddress;
    Optional<UpstreamId> advertisedAddress = Optional.empty();
    Clock clock = Clock.system();
    DoubleSupplier random;
    LongSupplier randomLong;
    PeerTimings timings = PeerTimings.defaults();
    long reserveBytesPerSecond = RESERVE_BYTES_PER_SECOND;
    Optional<PrometheusRegistry> metrics = Optional.empty();
    Function<String, Optional<CentralPlaces>> centralPlaces = service -> Optional.empty();
    Scheduler scheduler = new ScheduledExecutorScheduler("placement", true);
    Optional<PolledSource> polledSource = Optional.empty();

    ControlPlaneBuilder(DaemonSettings settings, long incarnation) {
        SecureRandom secure = new SecureRandom();
        this.settings = Objects.requireNonNull(settings);
        this.incarnation = incarnation;
        this.callerAddress = settings::callerAddress;
        this.random = secure::nextDouble;
        this.randomLong = secure::nextLong;
    }

    public ControlPlaneBuilder textReader(Function<String, Checked<ServicesText>> value) {
        this.textReader = value;
        return this;
    }

    public ControlPlaneBuilder vmListReader(Function<String, Checked<VmList>> value) {
        this.vmListReader = value;
        return this;
    }

    public ControlPlaneBuilder target(RoutingTarget value) {
        this.target = value;
        return this;
    }

    /** The caller address that peers are told; asked after the start, when a port 0 of the settings was replaced. */
    public ControlPlaneBuilder callerAddress(Supplier<UpstreamId> value) {
        this.callerAddress = value;
        return this;
    }

    /** Imports token tables that peers hand over; without it, they are refused. */
    public ControlPlaneBuilder handoverReceiver(HandoverReceiver value) {
        this.handoverReceiver = value;
        return this;
    }

    /** The peer address that peers are told instead of the one that is opened, for example of a relay in a test. */
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

    /** One source of the services text and the VM list; if empty, the sources that the settings name. */
    public ControlPlaneBuilder polledSource(Optional<PolledSource> value) {
        this.polledSource = value;
        return this;
    }

    /** The dispatcher that places the calls of a service for the whole fleet; empty if this daemon does not have it. */
    public ControlPlaneBuilder centralPlaces(Function<String, Optional<CentralPlaces>> value) {
        this.centralPlaces = value;
        return this;
    }

    /** Ends questions to peers that are not answered; started and stopped by its owner. */
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
                new HandoverFailedException("this daemon takes over no token tables; choose another peer"));
    }
}
