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
import java.util.stream.Collectors;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.transport.HttpClientTransportOverHTTP;
import org.sardinepost.core.configuration.AcceptedText;
import org.sardinepost.core.configuration.ConfigurationHolder;
import org.sardinepost.core.configuration.StartDecision;
import org.sardinepost.core.configuration.TextOrigin;
import org.sardinepost.core.membership.AbsenceRule;
import org.sardinepost.core.membership.Evidence;
import org.sardinepost.core.membership.LeavingSignal;
import org.sardinepost.core.membership.Membership;
import org.sardinepost.core.membership.PauseDetector;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.core.settings.DaemonSettings;
import org.sardinepost.core.settings.PlacementMode;
import org.sardinepost.core.settings.Source;
import org.sardinepost.core.text.ServicesText;
import org.sardinepost.daemon.call.UpstreamObserver;
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

/** The control side of one daemon: sources, membership, peers and the tick, all on one thread. */
public final class ControlPlane implements UpstreamObserver, AutoCloseable {
    private static final long TICK_MILLIS = 100;
    private static final long VM_LIST_RETRY_MILLIS = 1_500;

    private final DaemonSettings settings;
    private final long incarnation;
    private final Supplier<UpstreamId> callerAddress;
    private final RoutingTarget target;
    private final Clock clock;
    private final DoubleSupplier random;
    private final HttpClient client = new HttpClient(new HttpClientTransportOverHTTP(new PlainClientConnector()));
    private final ControlThread control = new ControlThread();
    private final PeerCounters counters = new PeerCounters();
    private final HeldIncarnations held;
    private final PeerTransport transport;
    private final PeerTable peers;
    private final ConfigurationControl configuration;
    private final ConfigurationExchange exchange;
    private final MembershipControl membership;
    private final LoadSender loadSender;
    private final HandoverSender handoverSender;
    private final StartControl start;
    private final PauseGate pauseGate;
    private final Revalidation revalidation;
    private final Placement placement;
    private final PeerMessageHandler messages;
    private Set<UpstreamId> announcedPeers = Set.of();
    private volatile List<String> connectedPeers = List.of();
    private final Optional<SharedReading> reading;
    private final Optional<ValueSource> configurationSource;
    private final Optional<SourceWatch> vmWatch;
    private final AtomicBoolean closed = new AtomicBoolean();
    private volatile ControlStatus status = ControlStatus.initial();
    private final Optional<UpstreamId> advertisedAddress;
    private volatile UpstreamId peerAddress;
    private Optional<PeerServer> server = Optional.empty();
    /** The client starts only if a source needs it, since its start takes time. */
    private boolean readsService;

    ControlPlane(ControlPlaneBuilder builder) {
        settings = builder.settings;
        incarnation = builder.incarnation;
        callerAddress = builder.callerAddress;
        advertisedAddress = builder.advertisedAddress;
        peerAddress = advertisedAddress.orElse(settings.peerAddress());
        target = builder.target;
        clock = builder.clock;
        random = builder.random;
        held = new HeldIncarnations(incarnation);
        transport = new PeerTransport(this::ownHello, listener(), counters, builder.timings, random);
        ByteBudget budget = new ByteBudget(loadBytesPerSecond(builder), clock.nanos());
        peers = new PeerTable(this::peerAddress, transport::connect, budget, clock);
        configuration = new ConfigurationControl(
                this::peerAddress,
                new ConfigurationHolder(builder.textReader),
                origin(),
                peers,
                control,
                this::textInForce);
        exchange = new ConfigurationExchange(configuration, peers, clock);
        membership = new MembershipControl(
                new Membership(absenceRule(settings)), builder.vmListReader, peers, clock, this::membershipChanged);
        loadSender = new LoadSender(this::peersOfRegion, this::sendLoad, target, budget, clock);
        handoverSender = new HandoverSender(settings.region(), peers, control, random);
        start = new StartControl(builder.polledSource.isPresent() ? Set::of : peers::named, clock);
        reading = builder.polledSource.map(
                source -> new SharedReading(source, peers, control, configuration, membership, this::stateRead, clock));
        configurationSource = reading.isPresent() ? Optional.empty() : source(settings.configuration());
        vmWatch = (reading.isPresent() ? Optional.<ValueSource>empty() : source(settings.vms()))
                .map(source -> watch(
                        source, LogEvent.VM_LIST_SOURCE_DOWN, LogEvent.VM_LIST_SOURCE_BACK, unused -> readVmList()));
        pauseGate = new PauseGate(new PauseDetector(evidence(), clock.nanos(), clock.millis()), clock);
        revalidation = new Revalidation(pauseGate, peers, builder.randomLong, this::readVmList);
        placement = new Placement(peers, builder.centralPlaces, control, builder.scheduler, clock::nanos);
        messages = new PeerMessageHandler(new ControlParts(
                control,
                peers,
                held,
                this::ownHello,
                exchange,
                membership,
                new LoadReceiver(target),
                handoverSender,
                builder.handoverReceiver,
                start,
                revalidation,
                placement,
                reading));
        builder.metrics.ifPresent(registry -> ControlMetrics.register(registry, this::status, counters));
    }

    public static ControlPlaneBuilder builder(DaemonSettings settings, long incarnation) {
        return new ControlPlaneBuilder(settings, incarnation);
    }

    /** Opens the peer address and starts to read the sources. */
    public void start() throws Exception {
        if (readsService) {
            client.start();
        }
        PeerServer listening = transport.listen(settings.peerAddress());
        server = Optional.of(listening);
        peerAddress = advertisedAddress.orElseGet(
                () -> new UpstreamId(settings.peerAddress().host(), listening.port()));
        control.execute(() -> {
            peers.name(settings.peers());
            configurationSource
                    .map(source -> watch(
                            source,
                            LogEvent.CONFIGURATION_SOURCE_DOWN,
                            LogEvent.CONFIGURATION_SOURCE_BACK,
                            configuration::sourceChanged))
                    .ifPresent(configuration::start);
            vmWatch.ifPresent(SourceWatch::start);
            reading.ifPresent(SharedReading::tick);
        });
        control.every(TICK_MILLIS, this::tick);
        if (settings.placement() == PlacementMode.OWN) {
            control.every(LoadSender.INTERVAL_MILLIS, loadSender::tick);
        }
    }

    /** Completes when the daemon may serve callers, with whether a peer confirmed the version in force. */
    public CompletableFuture<StartDecision> ready() {
        return start.ready();
    }

    /** What keeps the daemon from serving callers; empty if nothing does, or if no configuration is read. */
    public Optional<String> obstacle() {
        if (settings.configuration().kind() == Source.Kind.NONE || start.ready().isDone()) {
            return Optional.empty();
        }
        return Optional.of("the services text is not read or the peers were not yet asked for theirs");
    }

    /** The random number of this process, which names it to its peers. */
    public long incarnation() {
        return incarnation;
    }

    /** The peer address; its port differs from the settings if they ask for port 0. */
    public UpstreamId peerAddress() {
        return peerAddress;
    }

    int listeningPort() {
        return server.map(PeerServer::port).orElse(0);
    }

    /** What was known at the last tick. */
    public ControlStatus status() {
        return status;
    }

    /** Thread-safe. */
    @Override
    public void leaving(UpstreamId upstream) {
        control.execute(() -> membership.observedLeaving(upstream, LeavingSignal.ANSWER_HEADER));
    }

    /** Thread-safe. */
    @Override
    public void connectionFailed(UpstreamId upstream, boolean refused) {
        control.execute(() -> membership.connectionFailed(upstream, refused));
    }

    /** Holds new dispatches after a pause of the process. */
    public PauseGate pauseGate() {
        return pauseGate;
    }

    public PeerDirectory peerDirectory() {
        return peers;
    }

    /** The part of this daemon in placing the calls of the fleet. */
    public Placement placement() {
        return placement;
    }

    public HandoverTransport handoverTransport() {
        return handoverSender;
    }

    /** Tells the peers that this daemon is stopping. Completes when all were told or could not be reached. */
    public CompletableFuture<Void> goodbye() {
        CompletableFuture<Void> said = new CompletableFuture<>();
        PeerMessage message = PeerMessage.newBuilder()
                .setGoodbye(Goodbye.getDefaultInstance())
                .build();
        control.execute(() -> {
            peers.stop();
            List<CompletableFuture<Void>> sent = new ArrayList<>();
            peers.connected().forEach(peer -> sent.add(peers.send(peer, message).exceptionally(failure -> null)));
            var unused = CompletableFuture.allOf(sent.toArray(CompletableFuture[]::new))
                    .whenComplete((all, failure) -> said.complete(null));
        });
        return said;
    }

    @Override
    public void close() throws Exception {
        if (closed.getAndSet(true)) {
            return;
        }
        control.close();
        reading.ifPresent(SharedReading::close);
        peers.close();
        server.ifPresent(PeerServer::close);
        transport.close();
        client.stop();
    }

    /** The source was read; a daemon that starts and a new text do not wait for the next tick. */
    private void stateRead() {
        exchange.announce();
        tickStart();
    }

    /** Without a VM list a daemon could neither serve a call nor place one; peers tell theirs if the source is down. */
    private void tickStart() {
        if (reading.isEmpty() || membership.listRead()) {
            start.tick(peersKnown(), configuration.holder().version());
        }
    }

    private void tick() {
        revalidation.tick();
        target.tick();
        membership.tick();
        reading.ifPresent(SharedReading::tick);
        exchange.tick();
        peers.dropUnreachable().forEach(messages::gone);
        announcePeers();
        tickStart();
        status = currentStatus();
    }

    /** Peers learn of each other from those that they have in common. */
    private void announcePeers() {
        Set<UpstreamId> connected =
                peers.connected().stream().map(Peer::address).collect(Collectors.toSet());
        if (!announcedPeers.containsAll(connected)) {
            announcedPeers = connected;
            connectedPeers = connected.stream().map(UpstreamId::toString).toList();
            peers.sendToConnected(PeerMessage.newBuilder().setHello(ownHello()).build());
        }
    }

    private boolean peersKnown() {
        return settings.vms().kind() == Source.Kind.NONE || membership.listRead();
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
        peers.at(address).ifPresent(peer -> peers.sendLoad(peer, batch));
    }

    private void textInForce(ServicesText text) {
        loadSender.textInForce(text);
        publish(text);
    }

    private void membershipChanged() {
        Set<UpstreamId> named = new HashSet<>(settings.peers());
        named.addAll(membership.daemons());
        peers.name(named);
        configuration.holder().inForce().map(AcceptedText::text).ifPresent(this::publish);
    }

    private void publish(ServicesText text) {
        target.apply(text, membership.upstreamsByService(), membership.leaving());
    }

    private void readVmList() {
        readVmList(() -> {});
    }

    private void readVmList(Runnable afterwards) {
        Runnable again = () -> control.after(VM_LIST_RETRY_MILLIS, this::readVmList);
        reading.ifPresent(source -> source.read(afterwards, again));
        vmWatch.ifPresent(watch -> watch.read(
                value -> {
                    membership.listChanged(value);
                    afterwards.run();
                },
                again));
    }

    private PeerListener listener() {
        return PeerListener.builder()
                .onInboundHello(hello -> control.execute(() -> inbound(hello)))
                .onConnected((address, hello) -> control.execute(() -> connected(address, hello)))
                .onDisconnected(address -> control.execute(() -> disconnected(address)))
                .onMessage((sender, message) -> control.execute(() -> messages.received(sender, message)))
                .onFault(fault -> LogEvent.PEER_FAULT.warn(fault.fault().label(), fault.getMessage()))
                .build();
    }

    private void inbound(Hello hello) {
        UpstreamId.parse(hello.getPeerAddress()).ifPresent(address -> greeted(address, hello));
    }

    private void connected(UpstreamId address, Hello hello) {
        greeted(address, hello);
        peers.at(address).filter(peer -> !peer.connected()).ifPresent(peer -> {
            peer.connectionOpened();
            peers.publish();
            LogEvent.PEER_CONNECTED.info(address, Long.toHexString(hello.getIncarnation()));
            membership.sendMarks(peer);
            exchange.announce();
            loadSender.connected(address);
            revalidation.connected(peer);
            reading.ifPresent(source -> source.connected(peer));
        });
    }

    private void greeted(UpstreamId address, Hello hello) {
        peers.greeted(address, hello).ifPresent(messages::gone);
        peers.learn(hello.getConnectedPeersList());
    }

    private void disconnected(UpstreamId address) {
        peers.at(address).ifPresent(peer -> {
            peer.connectionLost(clock.nanos());
            peers.publish();
            placement.peerDisconnected(address);
            peer.hello().map(Hello::getIncarnation).ifPresent(messages::gone);
            LogEvent.PEER_LOST.info(address);
        });
    }

    private Hello ownHello() {
        return Hello.newBuilder()
                .setProtocolVersion(PeerProtocol.VERSION)
                .setPeerAddress(peerAddress.toString())
                .setCallerAddress(callerAddress.get().toString())
                .setIncarnation(incarnation)
                .setFailureDomain(settings.failureDomain())
                .setRegion(settings.region())
                .addAllHeldIncarnations(held.all())
                .addAllConnectedPeers(connectedPeers)
                .build();
    }

    private Optional<ValueSource> source(Source source) {
        return switch (source.kind()) {
            case NONE -> Optional.empty();
            case FILE -> Optional.of(new FileSource(Path.of(source.location()), control));
            case SERVICE -> {
                readsService = true;
                yield Optional.of(new ServiceSource(client, source.location()));
            }
        };
    }

    private SourceWatch watch(ValueSource source, LogEvent down, LogEvent back, LongConsumer onRevision) {
        return new SourceWatch(source, control, random, down, back, onRevision);
    }

    private static AbsenceRule absenceRule(DaemonSettings settings) {
        return settings.absentHold().map(AbsenceRule::after).orElseGet(AbsenceRule::untilConnectionFails);
    }

    private TextOrigin origin() {
        return settings.configuration().kind() == Source.Kind.FILE ? TextOrigin.FILE : TextOrigin.SERVICE;
    }

    private Set<Evidence> evidence() {
        Set<Evidence> evidence = EnumSet.noneOf(Evidence.class);
        if (settings.vms().kind() != Source.Kind.NONE) {
            evidence.add(Evidence.VM_LIST);
        }
        if (!settings.peers().isEmpty() || settings.vms().kind() != Source.Kind.NONE) {
            evidence.add(Evidence.PEER);
        }
        return evidence;
    }

    private static long loadBytesPerSecond(ControlPlaneBuilder builder) {
        return ByteBudget.LIMIT_BYTES_PER_SECOND - builder.reserveBytesPerSecond;
    }

    private ControlStatus currentStatus() {
        Optional<AcceptedText> inForce = configuration.holder().inForce();
        return new ControlStatus(
                configuration.holder().version(),
                inForce.map(AcceptedText::revision).orElse(0L),
                start.ready().getNow(StartDecision.WAITING),
                configuration.holder().conflict(),
                configuration.holder().refused(),
                configuration.sourceDown()
                        || reading.filter(SharedReading::down).isPresent(),
                vmWatch.filter(SourceWatch::down).isPresent()
                        || reading.filter(SharedReading::down).isPresent(),
                peers.size(),
                peers.connected().stream().map(Peer::address).toList(),
                List.copyOf(membership.leaving()),
                pauseGate.pauses(),
                configuration.fetches() + reading.map(SharedReading::reads).orElse(0L),
                loadSender.delayed());
    }
}
