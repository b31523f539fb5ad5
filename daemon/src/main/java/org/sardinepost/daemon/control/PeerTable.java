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
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.daemon.placement.PlacementPeers;
import org.sardinepost.peer.PeerClient;
import org.sardinepost.peer.generated.Hello;
import org.sardinepost.peer.generated.LoadBatch;
import org.sardinepost.peer.generated.PeerMessage;

/**
 * The peers of this daemon: those of the settings, those of the VM list and those that opened a connection to it.
 *
 * <p>The control thread owns the table; traffic threads read the directory, an immutable snapshot.
 */
final class PeerTable implements PeerDirectory, PlacementPeers {
    /** A peer that is no longer named anywhere and cannot be reached is dropped after this time. */
    private static final long KEEP_UNREACHABLE_NANOS = TimeUnit.SECONDS.toNanos(60);

    private final Supplier<UpstreamId> own;
    private final Function<UpstreamId, PeerClient> connector;
    private final ByteBudget budget;
    private final Clock clock;
    private final Map<UpstreamId, Peer> peers = new HashMap<>();
    private Set<UpstreamId> named = Set.of();
    private volatile Map<Long, String> callerAddresses = Map.of();
    private volatile Map<UpstreamId, PeerClient> clients = Map.of();
    private volatile List<UpstreamId> active = List.of();
    private volatile boolean stopping;

    PeerTable(Supplier<UpstreamId> own, Function<UpstreamId, PeerClient> connector, ByteBudget budget, Clock clock) {
        this.own = own;
        this.connector = connector;
        this.budget = budget;
        this.clock = clock;
    }

    /** Connects to the peers that the settings and the VM list name. */
    void name(Collection<UpstreamId> addresses) {
        Set<UpstreamId> others = new HashSet<>(addresses);
        others.remove(own.get());
        named = Set.copyOf(others);
        named.forEach(this::add);
    }

    /** Connects to daemons that a peer is connected to. */
    void learn(Collection<String> addresses) {
        addresses.stream()
                .flatMap(address -> UpstreamId.parse(address).stream())
                .filter(address -> !address.equals(own.get()))
                .forEach(this::add);
    }

    /** This daemon is stopping and places no calls any more. */
    void stop() {
        stopping = true;
        publish();
    }

    /** Drops peers that are neither named nor reachable; returns the incarnations that are gone. */
    List<Long> dropUnreachable() {
        long now = clock.nanos();
        List<Peer> dropped = peers.values().stream()
                .filter(peer -> !named.contains(peer.address()))
                .filter(peer -> !peer.connected())
                .filter(peer -> now - peer.heardNanos() > KEEP_UNREACHABLE_NANOS)
                .toList();
        dropped.forEach(peer -> {
            peers.remove(peer.address());
            peer.client().close();
        });
        publish();
        return dropped.stream()
                .flatMap(peer -> peer.hello().stream())
                .map(Hello::getIncarnation)
                .toList();
    }

    /** Takes over a Hello from either direction; returns the peer's incarnation that it replaces. */
    Optional<Long> greeted(UpstreamId address, Hello hello) {
        if (address.equals(own.get())) {
            return Optional.empty();
        }
        Optional<Long> replaced = add(address).greeted(hello, clock.nanos());
        publish();
        return replaced;
    }

    Optional<Peer> at(UpstreamId address) {
        return Optional.ofNullable(peers.get(address));
    }

    /** The peer that a message comes from. */
    Optional<Peer> sender(Hello hello) {
        return UpstreamId.parse(hello.getPeerAddress()).flatMap(this::at);
    }

    List<Peer> connected() {
        return peers.values().stream().filter(Peer::connected).toList();
    }

    List<Peer> activePeers() {
        return peers.values().stream().filter(Peer::active).toList();
    }

    @Override
    public UpstreamId localAddress() {
        return own.get();
    }

    @Override
    public List<UpstreamId> activeAddresses() {
        return active;
    }

    @Override
    public void send(UpstreamId peer, PeerMessage message) {
        PeerClient client = clients.get(peer);
        if (client != null) {
            // A message that cannot be sent is noticed by the answer that does not come.
            var unused = client.send(message);
        }
    }

    int size() {
        return peers.size();
    }

    Set<UpstreamId> named() {
        return named;
    }

    /** Sends and charges a message that is sent in any case. */
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
        return Optional.ofNullable(callerAddresses.get(incarnation));
    }

    void publish() {
        Map<Long, String> addresses = new HashMap<>();
        // A table that was handed over is named by its old and its new holder; the one that stays counts.
        peers.values().stream().filter(Peer::leaving).forEach(peer -> addHeld(addresses, peer));
        peers.values().stream().filter(peer -> !peer.leaving()).forEach(peer -> addHeld(addresses, peer));
        callerAddresses = Map.copyOf(addresses);
        clients = connected().stream().collect(Collectors.toUnmodifiableMap(Peer::address, Peer::client));
        Stream<UpstreamId> self = stopping ? Stream.empty() : Stream.of(own.get());
        active = Stream.concat(self, activePeers().stream().map(Peer::address)).toList();
    }

    void close() {
        peers.values().forEach(peer -> peer.client().close());
    }

    private Peer add(UpstreamId address) {
        return peers.computeIfAbsent(address, added -> new Peer(added, connector.apply(added), clock.nanos()));
    }

    private static void addHeld(Map<Long, String> addresses, Peer peer) {
        peer.hello().ifPresent(hello -> hello.getHeldIncarnationsList()
                .forEach(incarnation -> addresses.put(incarnation, hello.getCallerAddress())));
    }
}
