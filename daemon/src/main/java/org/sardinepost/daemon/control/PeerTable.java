package org.sardinepost.daemon.control;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.sardinepost.core.membership.FleetView;
import org.sardinepost.core.membership.RoleCandidate;
import org.sardinepost.core.membership.RoleOrder;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.daemon.placement.PlacementPeers;
import org.sardinepost.peer.PeerClient;
import org.sardinepost.peer.generated.Hello;
import org.sardinepost.peer.generated.LoadBatch;
import org.sardinepost.peer.generated.PeerMessage;

/**
 * The peers of this daemon: from the settings, from the VM list, from the Hellos of other peers, and those that opened
 * a connection to it.
 *
 * <p>The table is confined to the control thread; other threads read immutable snapshots of it.
 */
final class PeerTable implements PeerDirectory, PlacementPeers {
    /**
     * The time after which a peer is dropped that is not listed in the settings or the VM list and cannot be reached.
     */
    private static final long UNREACHABLE_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final Supplier<UpstreamId> ownAddress;
    private final Function<UpstreamId, PeerClient> connector;
    private final ByteBudget budget;
    private final Clock clock;
    private final Map<UpstreamId, Peer> peers = new HashMap<>();
    private final double ownCapacity;
    private Set<UpstreamId> listed = Set.of();
    private volatile Map<Long, String> callerAddressByIncarnation = Map.of();
    private volatile Map<UpstreamId, PeerClient> connectedClients = Map.of();
    private volatile List<RoleCandidate> activeDaemons = List.of();
    private volatile boolean stopping;

    PeerTable(
            Supplier<UpstreamId> ownAddress,
            double ownCapacity,
            Function<UpstreamId, PeerClient> connector,
            ByteBudget budget,
            Clock clock) {
        this.ownAddress = ownAddress;
        this.ownCapacity = ownCapacity;
        this.connector = connector;
        this.budget = budget;
        this.clock = clock;
    }

    /** Replaces the peers listed in the settings and the VM list, and connects to the new ones. */
    void setListed(Collection<UpstreamId> addresses) {
        Set<UpstreamId> others = new HashSet<>(addresses);
        others.remove(ownAddress.get());
        listed = Set.copyOf(others);
        listed.forEach(this::add);
    }

    /** Connects to the daemons to which a peer is connected. */
    void addDiscovered(Collection<String> addresses) {
        addresses.stream()
                .flatMap(address -> UpstreamId.parse(address).stream())
                .filter(address -> !address.equals(ownAddress.get()))
                .forEach(this::add);
    }

    /** Removes this daemon from the candidates for placement, because it is stopping. */
    void markStopping() {
        stopping = true;
        publishSnapshots();
    }

    /** Drops peers that are neither listed nor reachable; returns their incarnations. */
    List<Long> dropUnreachable() {
        long nowNanos = clock.nanos();
        List<Peer> dropped = peers.values().stream()
                .filter(peer -> !listed.contains(peer.address()))
                .filter(peer -> !peer.connected())
                .filter(peer -> nowNanos - peer.lastHeardNanos() > UNREACHABLE_RETENTION_NANOS)
                .toList();
        dropped.forEach(peer -> {
            peers.remove(peer.address());
            peer.client().close();
        });
        publishSnapshots();
        return dropped.stream()
                .flatMap(peer -> peer.hello().stream())
                .map(Hello::getIncarnation)
                .toList();
    }

    /**
     * Records a Hello from an inbound or outbound connection; returns the peer's previous incarnation if it differs.
     */
    Optional<Long> handleHello(UpstreamId address, Hello hello) {
        if (address.equals(ownAddress.get())) {
            return Optional.empty();
        }
        Optional<Long> replaced = add(address).updateHello(hello, clock.nanos());
        publishSnapshots();
        return replaced;
    }

    Optional<Peer> find(UpstreamId address) {
        return Optional.ofNullable(peers.get(address));
    }

    /** Returns the peer that sent a message. */
    Optional<Peer> findSender(Hello hello) {
        return UpstreamId.parse(hello.getPeerAddress()).flatMap(this::find);
    }

    List<Peer> connected() {
        return peers.values().stream().filter(Peer::connected).toList();
    }

    /** Returns whether this daemon had peers and has lost the connections to all of them. */
    boolean isolated() {
        return connected().isEmpty()
                && peers.values().stream().anyMatch(peer -> peer.hello().isPresent());
    }

    List<Peer> activePeers() {
        return peers.values().stream().filter(Peer::active).toList();
    }

    @Override
    public UpstreamId localAddress() {
        return ownAddress.get();
    }

    @Override
    public List<RoleCandidate> activeDaemons() {
        return activeDaemons;
    }

    /** Returns the number of active peers that take on a role of the fleet before this daemon. */
    int rank(long roleKey) {
        List<RoleCandidate> others =
                activePeers().stream().map(PeerTable::candidate).toList();
        return RoleOrder.rank(localCandidate(), others, roleKey);
    }

    /** Returns what this daemon knows about the daemons of the fleet. */
    FleetView fleetView() {
        Set<UpstreamId> known = new HashSet<>(Set.of(ownAddress.get()));
        Set<UpstreamId> departed = new HashSet<>();
        peers.values().forEach(peer -> (peer.stopping() ? departed : known).add(peer.address()));
        return new FleetView(ownAddress.get(), activeDaemons, known, departed);
    }

    private RoleCandidate localCandidate() {
        return new RoleCandidate(ownAddress.get(), ownCapacity);
    }

    private static RoleCandidate candidate(Peer peer) {
        double capacity = peer.hello()
                .map(Hello::getProcessorCapacity)
                .filter(told -> told > 0)
                .orElse(RoleCandidate.DEFAULT_CAPACITY);
        return new RoleCandidate(peer.address(), capacity);
    }

    @Override
    public void send(UpstreamId peer, PeerMessage message) {
        PeerClient client = connectedClients.get(peer);
        if (client != null) {
            // A send failure needs no handling, since the missing response makes the request time out.
            var unused = client.send(message);
        }
    }

    int size() {
        return peers.size();
    }

    Set<UpstreamId> listed() {
        return listed;
    }

    /** Sends a message regardless of the byte budget, and charges it to the budget. */
    CompletableFuture<Void> send(Peer peer, PeerMessage message) {
        budget.charge(message.getSerializedSize() + (long) ByteBudget.OVERHEAD_BYTES, clock.nanos());
        return peer.client().send(message);
    }

    void sendToConnected(PeerMessage message) {
        connected().forEach(peer -> {
            var unused = send(peer, message);
        });
    }

    void sendLoad(Peer peer, LoadBatch batch) {
        peer.client().sendLoad(batch);
    }

    @Override
    public Optional<String> callerAddressFor(long incarnation) {
        return Optional.ofNullable(callerAddressByIncarnation.get(incarnation));
    }

    void publishSnapshots() {
        Map<Long, String> addresses = new HashMap<>();
        // A token table that was handed over is listed by its old and its new holder; the one that is not stopping
        // wins.
        peers.values().stream().filter(Peer::stopping).forEach(peer -> addHeldIncarnations(addresses, peer));
        peers.values().stream().filter(peer -> !peer.stopping()).forEach(peer -> addHeldIncarnations(addresses, peer));
        callerAddressByIncarnation = Map.copyOf(addresses);
        connectedClients = connected().stream().collect(Collectors.toUnmodifiableMap(Peer::address, Peer::client));
        Stream<RoleCandidate> self = stopping ? Stream.empty() : Stream.of(localCandidate());
        List<RoleCandidate> active = Stream.concat(self, activePeers().stream().map(PeerTable::candidate))
                .toList();
        // Readers derive state from the list and recognize a change by its identity.
        if (!active.equals(activeDaemons)) {
            activeDaemons = active;
        }
    }

    void close() {
        peers.values().forEach(peer -> peer.client().close());
    }

    private Peer add(UpstreamId address) {
        return peers.computeIfAbsent(address, key -> new Peer(key, connector.apply(key), clock.nanos()));
    }

    private static void addHeldIncarnations(Map<Long, String> addresses, Peer peer) {
        peer.hello().ifPresent(hello -> hello.getHeldIncarnationsList()
                .forEach(incarnation -> addresses.put(incarnation, hello.getCallerAddress())));
    }
}
