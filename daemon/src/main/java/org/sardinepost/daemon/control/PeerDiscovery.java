package org.sardinepost.daemon.control;

import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.peer.generated.PeerAddresses;
import org.sardinepost.peer.generated.PeerMessage;
import org.sardinepost.peer.generated.PeersRequest;

/**
 * Finds the daemons that are neither in the settings nor in the VM list.
 *
 * <p>Each daemon asks a few connected peers, its introducers, for the daemons that they know. An introducer sends each
 * address to each asking daemon once, so the traffic of a start grows with the number of daemons and not with its
 * cube. A daemon also learns of each peer that connects to it. All state is confined to the control thread.
 */
final class PeerDiscovery {
    /** More than one, since an introducer may be frozen or know only some of the daemons. */
    private static final int INTRODUCERS = 3;

    private static final PeerMessage REQUEST = PeerMessage.newBuilder()
            .setPeersRequest(PeersRequest.getDefaultInstance())
            .build();

    private final PeerTable peers;
    private final Set<UpstreamId> introducers = new HashSet<>();
    /** Numbers the connected peers in the order of their connections. */
    private final Map<UpstreamId, Long> connectionNumbers = new HashMap<>();

    /** For each daemon that asked: the number of the last connection that it was told of. */
    private final Map<UpstreamId, Long> lastSentNumbers = new HashMap<>();

    private long lastConnectionNumber;

    PeerDiscovery(PeerTable peers) {
        this.peers = peers;
    }

    void peerConnected(Peer peer) {
        connectionNumbers.put(peer.address(), ++lastConnectionNumber);
        if (introducers.size() < INTRODUCERS) {
            request(peer);
        }
    }

    void peerDisconnected(Peer peer) {
        connectionNumbers.remove(peer.address());
        // Messages on the lost connection may not have arrived.
        lastSentNumbers.computeIfPresent(peer.address(), (address, number) -> 0L);
        if (introducers.remove(peer.address())) {
            replacementIntroducer().ifPresent(this::request);
        }
    }

    void handleRequest(Peer peer) {
        lastSentNumbers.put(peer.address(), 0L);
        sendNewAddresses(peer);
    }

    void handleAddresses(PeerAddresses addresses) {
        peers.addDiscovered(addresses.getAddressesList());
    }

    /** Sends the peers that have connected since the last tick to the daemons that asked. */
    void tick() {
        lastSentNumbers.keySet().removeIf(address -> peers.find(address).isEmpty());
        peers.connected().stream()
                .filter(peer -> lastSentNumbers.getOrDefault(peer.address(), Long.MAX_VALUE) < lastConnectionNumber)
                .forEach(this::sendNewAddresses);
    }

    private void request(Peer peer) {
        introducers.add(peer.address());
        var unused = peers.send(peer, REQUEST);
    }

    private Optional<Peer> replacementIntroducer() {
        return peers.connected().stream()
                .filter(peer -> !introducers.contains(peer.address()))
                .max(Comparator.comparing(peer -> peers.listed().contains(peer.address())));
    }

    private void sendNewAddresses(Peer peer) {
        if (!peer.connected()) {
            return;
        }
        long lastSent = lastSentNumbers.getOrDefault(peer.address(), 0L);
        List<String> addresses = connectionNumbers.entrySet().stream()
                .filter(entry -> entry.getValue() > lastSent)
                .map(entry -> entry.getKey().toString())
                .toList();
        lastSentNumbers.put(peer.address(), lastConnectionNumber);
        if (addresses.isEmpty()) {
            return;
        }
        PeerAddresses message =
                PeerAddresses.newBuilder().addAllAddresses(addresses).build();
        var unused = peers.send(
                peer, PeerMessage.newBuilder().setPeerAddresses(message).build());
    }
}
