package org.sardinepost.daemon.control;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.DoubleSupplier;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import org.eclipse.jetty.client.HttpClient;
import org.sardinepost.core.configuration.AcceptedText;
import org.sardinepost.core.configuration.StartDecision;
import org.sardinepost.core.configuration.TextOrigin;
import org.sardinepost.core.configuration.TextValidator;
import org.sardinepost.core.membership.AbsencePolicy;
import org.sardinepost.core.membership.Membership;
import org.sardinepost.core.membership.PauseDetector;
import org.sardinepost.core.membership.SourcePosition;
import org.sardinepost.core.membership.StateSource;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.core.settings.DaemonSettings;
import org.sardinepost.core.settings.PlacementMode;
import org.sardinepost.core.settings.Source;
import org.sardinepost.core.text.ServicesText;
import org.sardinepost.daemon.call.UpstreamObserver;
import org.sardinepost.daemon.http.BoundedHttpTransport;
import org.sardinepost.daemon.http.PlainClientConnector;
import org.sardinepost.daemon.log.LogEvent;
import org.sardinepost.daemon.placement.Placement;
import org.sardinepost.peer.PeerCounters;
import org.sardinepost.peer.PeerListener;
import org.sardinepost.peer.PeerProtocol;
import org.sardinepost.peer.PeerServer;
import org.sardinepost.peer.PeerTransport;
import org.sardinepost.peer.generated.Goodbye;
import org.sardinepost.peer.generated.Hello;
import org.sardinepost.peer.generated.LoadBatch;
import org.sardinepost.peer.generated.PeerMessage;

/** The control plane of one daemon: configuration sources, membership and peers, all handled on one thread. */
public final class ControlPlane implements UpstreamObserver, AutoCloseable {
    private static final long TICK_MILLIS = 100;
    private static final long VM_LIST_RETRY_MILLIS = 1_500;

    private final DaemonSettings settings;
    private final long incarnation;
    private final Supplier<UpstreamId> callerAddress;
    private final RoutingTarget target;
    private final Clock clock;
    private final DoubleSupplier random;
    private final HttpClient client = BoundedHttpTransport.newClient(new PlainClientConnector());
    private final ControlThread control = new ControlThread();
    private final ControlThread validation = new ControlThread("validation");
    private final PeerCounters counters = new PeerCounters();
    private final HeldIncarnations heldIncarnations;
    private final double processorCapacity;
    private final PeerTransport transport;
    private final PeerTable peers;
    private final PeerDiscovery discovery;
    private final ConfigurationController configuration;
    private final ConfigurationExchange exchange;
    private final MembershipController membership;
    private final LoadSender loadSender;
    private final HandoverSender handoverSender;
    private final StartupController startup;
    private final PauseGate pauseGate;
    private final Revalidation revalidation;
    private final Placement placement;
    private final ColdPlacement coldPlacement;
    private final PeerMessageHandler messageHandler;
    private final Optional<SharedSourceReader> sourceReader;
    private final Optional<ValueSource> configurationSource;
    private final Optional<SourceWatch> vmWatch;
    private final AtomicBoolean closed = new AtomicBoolean();
    private volatile ControlStatus status = ControlStatus.initial();
    private final Optional<UpstreamId> advertisedAddress;
    private volatile UpstreamId peerAddress;
    private Optional<PeerServer> server = Optional.empty();
    /** Whether a source needs the HTTP client, which is started only then, since its start takes time. */
    private boolean usesConfigurationService;

    ControlPlane(ControlPlaneBuilder builder) {
        settings = builder.settings;
        incarnation = builder.incarnation;
        callerAddress = builder.callerAddress;
        advertisedAddress = builder.advertisedAddress;
        peerAddress = advertisedAddress.orElse(settings.peerAddress());
        target = builder.target;
        clock = builder.clock;
        random = builder.random;
        heldIncarnations = new HeldIncarnations(incarnation);
        processorCapacity = builder.processorCapacity;
        transport = new PeerTransport(this::localHello, listener(), counters, builder.timings, random);
        ByteBudget budget = new ByteBudget(loadBytesPerSecond(builder), clock.nanos());
        peers = new PeerTable(this::peerAddress, processorCapacity, transport::connect, budget, clock);
        discovery = new PeerDiscovery(peers);
        configuration = new ConfigurationController(
                this::peerAddress,
                new TextValidator(builder.textReader),
                validation,
                origin(),
                peers,
                control,
                this::textAccepted);
        exchange = new ConfigurationExchange(configuration, peers, clock);
        membership = new MembershipController(
                new Membership(absencePolicy(settings)), builder.vmListReader, peers, clock, this::membershipChanged);
        loadSender = new LoadSender(this::peersOfRegion, this::sendLoad, target, budget, clock);
        handoverSender = new HandoverSender(settings.region(), peers, control, random);
        startup = new StartupController(builder.polledSource.isPresent() ? Set::of : peers::listed, clock);
        sourceReader = builder.polledSource.map(source -> new SharedSourceReader(
                source, peers, control, configuration, membership, this::tickStartup, exchange::receiving, clock));
        configurationSource = sourceReader.isPresent() ? Optional.empty() : source(settings.configuration());
        vmWatch = (sourceReader.isPresent() ? Optional.<ValueSource>empty() : source(settings.vms()))
                .map(source -> watch(
                        source,
                        LogEvent.VM_LIST_SOURCE_DOWN,
                        LogEvent.VM_LIST_SOURCE_RECOVERED,
                        unused -> readVmList()));
        pauseGate = new PauseGate(new PauseDetector(requiredStateSources(), clock.nanos(), clock.millis()), clock);
        revalidation = new Revalidation(pauseGate, peers, builder.randomLong, this::readVmList);
        coldPlacement = new ColdPlacement(clock, peers::fleetView, builder.coldTolerance);
        placement = new Placement(peers, builder.centralDispatchers, control, builder.scheduler, clock::nanos);
        messageHandler = new PeerMessageHandler(new ControlComponents(
                control,
                peers,
                discovery,
                heldIncarnations,
                this::localHello,
                exchange,
                membership,
                new LoadReceiver(target),
                handoverSender,
                builder.handoverReceiver,
                startup,
                revalidation,
                placement,
                sourceReader));
        builder.metrics.ifPresent(registry -> ControlMetrics.register(registry, this::status, counters));
    }

    public static ControlPlaneBuilder builder(DaemonSettings settings, long incarnation) {
        return new ControlPlaneBuilder(settings, incarnation);
    }

    /** Starts to listen on the peer address and to read the sources. */
    public void start() throws Exception {
        if (usesConfigurationService) {
            client.start();
        }
        PeerServer peerServer = transport.listen(settings.peerAddress());
        server = Optional.of(peerServer);
        peerAddress = advertisedAddress.orElseGet(
                () -> new UpstreamId(settings.peerAddress().host(), peerServer.port()));
        control.execute(() -> {
            peers.setListed(settings.peers());
            configurationSource
                    .map(source -> watch(
                            source,
                            LogEvent.CONFIGURATION_SOURCE_DOWN,
                            LogEvent.CONFIGURATION_SOURCE_RECOVERED,
                            configuration::scheduleFetch))
                    .ifPresent(configuration::start);
            vmWatch.ifPresent(SourceWatch::start);
            sourceReader.ifPresent(SharedSourceReader::tick);
        });
        control.scheduleRepeatedly(TICK_MILLIS, this::tick);
        if (settings.placement() == PlacementMode.OWN) {
            control.scheduleRepeatedly(LoadSender.INTERVAL_MILLIS, loadSender::tick);
        }
    }

    /** Completes when the daemon may serve callers; the value says whether a peer confirmed the active version. */
    public CompletableFuture<StartDecision> ready() {
        return startup.ready();
    }

    /** Returns the reason why the daemon is not ready; empty if it is ready or has no configuration source. */
    public Optional<String> unreadyReason() {
        if (settings.configuration().kind() == Source.Kind.NONE
                || startup.ready().isDone()) {
            return Optional.empty();
        }
        return Optional.of("the services text is not read or the peers were not yet asked for theirs");
    }

    /** Returns the random number that identifies this process to its peers. */
    public long incarnation() {
        return incarnation;
    }

    /** Returns the peer address; if the port in the settings is 0, this has the port that was assigned. */
    public UpstreamId peerAddress() {
        return peerAddress;
    }

    PeerCounters peerCounters() {
        return counters;
    }

    int listeningPort() {
        return server.map(PeerServer::port).orElse(0);
    }

    /** Returns the status as of the last tick. */
    public ControlStatus status() {
        return status;
    }

    /** Thread-safe. */
    @Override
    public void leaving(UpstreamId upstream, Optional<String> instance) {
        control.execute(() -> membership.markLeaving(upstream, instance));
    }

    /** Thread-safe. */
    @Override
    public void connectionFailed(UpstreamId upstream, boolean refused) {
        control.execute(() -> membership.connectionFailed(upstream, refused));
    }

    /** Returns the gate that delays new dispatches after a pause of the process. */
    public PauseGate pauseGate() {
        return pauseGate;
    }

    public PeerDirectory peerDirectory() {
        return peers;
    }

    /** Returns this daemon's part in central placement. */
    public Placement placement() {
        return placement;
    }

    /** Returns whether this daemon may send calls to cold upstreams. */
    public ColdPlacement coldPlacement() {
        return coldPlacement;
    }

    public HandoverTransport handoverTransport() {
        return handoverSender;
    }

    /**
     * Tells the peers that this daemon is stopping. Completes when the message was sent, or failed to be sent, to each
     * peer.
     */
    public CompletableFuture<Void> announceStop() {
        CompletableFuture<Void> completed = new CompletableFuture<>();
        PeerMessage message = PeerMessage.newBuilder()
                .setGoodbye(Goodbye.getDefaultInstance())
                .build();
        control.execute(() -> {
            peers.markStopping();
            List<CompletableFuture<Void>> sent = new ArrayList<>();
            peers.connected().forEach(peer -> sent.add(peers.send(peer, message).exceptionally(failure -> null)));
            var unused = CompletableFuture.allOf(sent.toArray(CompletableFuture[]::new))
                    .whenComplete((all, failure) -> completed.complete(null));
        });
        return completed;
    }

    @Override
    public void close() throws Exception {
        if (closed.getAndSet(true)) {
            return;
        }
        control.close();
        validation.close();
        sourceReader.ifPresent(SharedSourceReader::close);
        peers.close();
        server.ifPresent(PeerServer::close);
        transport.close();
        client.stop();
    }

    /**
     * Waits for a VM list first, since a daemon without one can neither serve nor dispatch calls; peers send theirs if
     * the source is down.
     */
    private void tickStartup() {
        if (sourceReader.isEmpty() || membership.vmListRead()) {
            startup.tick(allPeersKnown(), configuration.holder().version());
        }
    }

    private void tick() {
        revalidation.tick();
        target.tick();
        membership.tick();
        sourceReader.ifPresent(SharedSourceReader::tick);
        exchange.tick();
        placement.releaseOverdue();
        peers.dropUnreachable().forEach(messageHandler::removeIncarnation);
        discovery.tick();
        coldPlacement.tick();
        tickStartup();
        status = currentStatus();
    }

    private boolean allPeersKnown() {
        return settings.vms().kind() == Source.Kind.NONE || membership.vmListRead();
    }

    private List<UpstreamId> peersOfRegion() {
        return peers.connected().stream()
                .filter(peer -> peer.hello()
                        .filter(hello -> hello.getRegion().equals(settings.region()))
                        .isPresent())
                .map(Peer::address)
                .toList();
    }

    private void sendLoad(UpstreamId address, LoadBatch batch) {
        peers.find(address).ifPresent(peer -> peers.sendLoad(peer, batch));
    }

    private void textAccepted(ServicesText text) {
        loadSender.updateBudgets(text);
        publish(text);
        exchange.announce();
        tickStartup();
    }

    private void membershipChanged() {
        Set<UpstreamId> listed = new HashSet<>(settings.peers());
        listed.addAll(membership.daemons());
        peers.setListed(listed);
        configuration.holder().activeText().map(AcceptedText::text).ifPresent(this::publish);
    }

    private void publish(ServicesText text) {
        coldPlacement.textApplied(text);
        target.apply(
                text,
                membership.upstreamsByService(),
                membership.leaving(),
                membership.evacuation().including(text),
                membership.coldSince());
    }

    private void readVmList() {
        readVmList(() -> {});
    }

    private void readVmList(Runnable onSuccess) {
        Runnable retry = () -> control.schedule(VM_LIST_RETRY_MILLIS, this::readVmList);
        sourceReader.ifPresent(source -> source.read(onSuccess, retry));
        vmWatch.ifPresent(watch -> watch.read(
                value -> {
                    membership.applyVmList(SourcePosition.ofRevision(value.revision()), value.content());
                    onSuccess.run();
                },
                retry));
    }

    private PeerListener listener() {
        return PeerListener.builder()
                .onInboundHello(hello -> control.execute(() -> handleInboundHello(hello)))
                .onConnected((address, hello) -> control.execute(() -> handleConnected(address, hello)))
                .onDisconnected(address -> control.execute(() -> handleDisconnected(address)))
                .onMessage((sender, message) -> control.execute(() -> messageHandler.handle(sender, message)))
                .onFault(fault ->
                        LogEvent.PEER_CONNECTION_ERROR.warn(fault.fault().label(), fault.getMessage()))
                .build();
    }

    private void handleInboundHello(Hello hello) {
        UpstreamId.parse(hello.getPeerAddress()).ifPresent(address -> handleHello(address, hello));
    }

    private void handleConnected(UpstreamId address, Hello hello) {
        handleHello(address, hello);
        peers.find(address).filter(peer -> !peer.connected()).ifPresent(peer -> {
            peer.markConnected();
            peers.publishSnapshots();
            LogEvent.PEER_CONNECTED.info(address, Long.toHexString(hello.getIncarnation()));
            membership.sendLeavingMarks(peer);
            exchange.announce();
            loadSender.resetPeer(address);
            revalidation.peerConnected(peer);
            discovery.peerConnected(peer);
            sourceReader.ifPresent(source -> source.peerConnected(peer));
        });
    }

    private void handleHello(UpstreamId address, Hello hello) {
        peers.handleHello(address, hello).ifPresent(messageHandler::removeIncarnation);
    }

    private void handleDisconnected(UpstreamId address) {
        peers.find(address).ifPresent(peer -> {
            peer.markDisconnected(clock.nanos());
            peers.publishSnapshots();
            discovery.peerDisconnected(peer);
            placement.peerDisconnected(address);
            peer.hello().map(Hello::getIncarnation).ifPresent(messageHandler::removeIncarnation);
            LogEvent.PEER_LOST.info(address);
        });
    }

    private Hello localHello() {
        return Hello.newBuilder()
                .setProtocolVersion(PeerProtocol.VERSION)
                .setPeerAddress(peerAddress.toString())
                .setCallerAddress(callerAddress.get().toString())
                .setIncarnation(incarnation)
                .setFailureDomain(settings.failureDomain())
                .setRegion(settings.region())
                .addAllHeldIncarnations(heldIncarnations.all())
                .setProcessorCapacity(processorCapacity)
                .build();
    }

    private Optional<ValueSource> source(Source source) {
        return switch (source.kind()) {
            case NONE -> Optional.empty();
            case FILE -> Optional.of(new FileSource(Path.of(source.location()), control));
            case SERVICE -> {
                usesConfigurationService = true;
                yield Optional.of(new ServiceSource(client, source.location()));
            }
        };
    }

    private SourceWatch watch(ValueSource source, LogEvent down, LogEvent recovered, LongConsumer onRevision) {
        return new SourceWatch(source, control, random, down, recovered, onRevision);
    }

    private static AbsencePolicy absencePolicy(DaemonSettings settings) {
        return settings.absentHold().map(AbsencePolicy::removeAfter).orElseGet(AbsencePolicy::untilConnectionFails);
    }

    private TextOrigin origin() {
        return settings.configuration().kind() == Source.Kind.FILE ? TextOrigin.FILE : TextOrigin.SERVICE;
    }

    private Set<StateSource> requiredStateSources() {
        Set<StateSource> sources = EnumSet.noneOf(StateSource.class);
        if (settings.vms().kind() != Source.Kind.NONE) {
            sources.add(StateSource.VM_LIST);
        }
        if (!settings.peers().isEmpty() || settings.vms().kind() != Source.Kind.NONE) {
            sources.add(StateSource.PEER);
        }
        return sources;
    }

    private static long loadBytesPerSecond(ControlPlaneBuilder builder) {
        return ByteBudget.LIMIT_BYTES_PER_SECOND - builder.reservedBytesPerSecond;
    }

    private ControlStatus currentStatus() {
        Optional<AcceptedText> activeText = configuration.holder().activeText();
        return new ControlStatus(
                configuration.holder().version(),
                activeText.map(text -> text.position().revision()).orElse(0L),
                startup.ready().getNow(StartDecision.WAITING),
                configuration.holder().conflict(),
                configuration.holder().refused(),
                configuration.sourceDown()
                        || sourceReader.filter(SharedSourceReader::down).isPresent(),
                vmWatch.filter(SourceWatch::down).isPresent()
                        || sourceReader.filter(SharedSourceReader::down).isPresent(),
                sourceReader.flatMap(SharedSourceReader::stateAgeMillis),
                peers.size(),
                peers.connected().stream().map(Peer::address).toList(),
                List.copyOf(membership.leaving()),
                pauseGate.pauses(),
                configuration.fetches()
                        + sourceReader.map(SharedSourceReader::reads).orElse(0L),
                loadSender.delayedBatches());
    }
}
