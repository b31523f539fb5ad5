package org.sardinepost.daemon.control;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.sardinepost.core.configuration.CandidateText;
import org.sardinepost.core.configuration.ReadSchedule;
import org.sardinepost.core.configuration.TextDigest;
import org.sardinepost.core.configuration.TextOrigin;
import org.sardinepost.core.membership.RendezvousHash;
import org.sardinepost.daemon.log.LogEvent;
import org.sardinepost.peer.generated.PeerMessage;
import org.sardinepost.peer.generated.SourceState;

/**
 * Keeps the services text and the VM list up to date from a source that one daemon reads on behalf of all.
 *
 * <p>After each read, that daemon sends the revision of the source to its peers, with the VM list if it has changed. A
 * peer that lacks a change, because a message was lost or it has just started, detects this by the digest and reads the
 * source itself when {@link ReadSchedule} allows it. All state is confined to the control thread.
 */
final class SharedSourceReader {
    private static final long READER_KEY = RendezvousHash.keyOf("reader of the source");

    /** The number of first-ranked daemons that send the state to a new peer; two, since one may be frozen. */
    private static final int STATE_SENDERS = 2;

    private final PolledSource source;
    private final PeerTable peers;
    private final ControlThread control;
    private final ConfigurationController configuration;
    private final MembershipController membership;
    private final Runnable onRead;
    private final Clock clock;
    private final ReadSchedule readSchedule = new ReadSchedule();
    private Optional<String> vmList = Optional.empty();
    private Optional<TextDigest> vmListDigest = Optional.empty();
    private Optional<PendingState> pendingState = Optional.empty();
    private long revision;
    private long textRevision;
    private long reads;
    private boolean down;

    SharedSourceReader(
            PolledSource source,
            PeerTable peers,
            ControlThread control,
            ConfigurationController configuration,
            MembershipController membership,
            Runnable onRead,
            Clock clock) {
        this.source = source;
        this.peers = peers;
        this.control = control;
        this.configuration = configuration;
        this.membership = membership;
        this.onRead = onRead;
        this.clock = clock;
    }

    /** Reads the source if this daemon is due to read it. */
    void tick() {
        long now = clock.nanos();
        pendingState.filter(state -> heldTextRevision() >= state.textRevision()).ifPresent(state -> {
            readSchedule.stateReceived(state.asOfNanos());
            pendingState = Optional.empty();
        });
        if (readSchedule.due(rank(), now)) {
            read(() -> {}, () -> {});
        }
    }

    /** Reads the source immediately, whether or not this daemon is due, and then runs one of the two callbacks. */
    void read(Runnable onSuccess, Runnable onFailure) {
        long startNanos = clock.nanos();
        readSchedule.started();
        reads++;
        var unused = source.read()
                .whenCompleteAsync(
                        (snapshot, failure) -> {
                            if (failure != null) {
                                handleFailure(failure);
                                onFailure.run();
                            } else {
                                handleSnapshot(snapshot, startNanos);
                                onSuccess.run();
                            }
                        },
                        control);
    }

    /**
     * Sends the whole state to a peer that connected, if this daemon is among the first-ranked ones. The peer may have
     * started while the source is down.
     */
    void sendStateTo(Peer peer) {
        if (vmList.isEmpty() || rank(peer) >= STATE_SENDERS) {
            return;
        }
        SourceState state = stateMessage(vmList.get(), readSchedule.ageNanos(clock.nanos()));
        var unused =
                peers.send(peer, PeerMessage.newBuilder().setSourceState(state).build());
    }

    /** Applies the state that a peer sent after a read of the source. */
    void handleState(SourceState state) {
        if (state.getRevision() < revision) {
            return;
        }
        if (!state.getVmList().isEmpty()) {
            applyVmList(state.getVmList(), state.getRevision());
        }
        TextDigest sentDigest = Digests.fromWire(state.getVmListDigest());
        if (vmListDigest.filter(sentDigest::equals).isEmpty()) {
            return;
        }
        revision = state.getRevision();
        long asOf = clock.nanos() - TimeUnit.MILLISECONDS.toNanos(state.getAgeMs());
        if (heldTextRevision() >= state.getConfigurationRevision()) {
            readSchedule.stateReceived(asOf);
        } else {
            pendingState = Optional.of(new PendingState(state.getConfigurationRevision(), asOf));
        }
    }

    /** Returns whether the last read by this daemon failed. */
    boolean down() {
        return down;
    }

    /** Returns the number of reads by this daemon. */
    long reads() {
        return reads;
    }

    void close() {
        source.close();
    }

    private int rank() {
        return rank(peers.activePeers().stream());
    }

    /** Returns the rank that this daemon has if the given peer is not counted. */
    private int rank(Peer excluded) {
        return rank(peers.activePeers().stream().filter(peer -> peer != excluded));
    }

    private int rank(Stream<Peer> others) {
        String own = peers.localAddress().toString();
        return (int)
                others.filter(peer -> RendezvousHash.precedes(peer.address().toString(), own, READER_KEY))
                        .count();
    }

    private void handleSnapshot(SourceSnapshot snapshot, long startNanos) {
        readSchedule.completed(startNanos);
        if (down) {
            down = false;
            LogEvent.CONFIGURATION_SOURCE_RECOVERED.info(source.location());
        }
        if (snapshot.revision() < revision) {
            // A peer sent a newer state during the read.
            return;
        }
        revision = snapshot.revision();
        snapshot.servicesText().ifPresent(this::applyText);
        boolean first = vmListDigest.isEmpty();
        boolean vmListChanged = applyVmList(snapshot.vmList(), snapshot.revision());
        onRead.run();
        broadcastState(vmListChanged && !first ? snapshot.vmList() : "", startNanos);
    }

    private void handleFailure(Throwable failure) {
        readSchedule.failed(clock.nanos());
        if (!down) {
            down = true;
            Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
            LogEvent.CONFIGURATION_SOURCE_DOWN.warn(source.location(), String.valueOf(cause.getMessage()));
        }
    }

    private void applyText(SourceValue text) {
        if (text.revision() > textRevision) {
            textRevision = text.revision();
            configuration.offer(new CandidateText(text.revision(), text.content(), TextOrigin.SERVICE));
        }
    }

    /** Applies the VM list and returns true if it differs from the previous one. */
    private boolean applyVmList(String newVmList, long asOfRevision) {
        TextDigest digest = TextDigest.of(newVmList);
        if (vmListDigest.filter(digest::equals).isPresent()) {
            return false;
        }
        vmListDigest = Optional.of(digest);
        vmList = Optional.of(newVmList);
        membership.applyVmList(new SourceValue(asOfRevision, newVmList));
        return true;
    }

    private void broadcastState(String changedVmList, long startNanos) {
        SourceState state = stateMessage(changedVmList, clock.nanos() - startNanos);
        peers.sendToConnected(PeerMessage.newBuilder().setSourceState(state).build());
    }

    private SourceState stateMessage(String sentVmList, long ageNanos) {
        return SourceState.newBuilder()
                .setRevision(revision)
                .setConfigurationRevision(heldTextRevision())
                .setVmListDigest(ByteString.copyFrom(vmListDigest.orElseThrow().bytes()))
                .setVmList(sentVmList)
                .setAgeMs((int) Math.min(Integer.MAX_VALUE, TimeUnit.NANOSECONDS.toMillis(ageNanos)))
                .build();
    }

    /**
     * Returns the revision of the newest text that was read or is active. A refused text counts, since reading it again
     * would not help.
     */
    private long heldTextRevision() {
        return Math.max(textRevision, configuration.heldRevision());
    }

    /** A state that lacks only the services text, which the peers are still passing on. */
    private record PendingState(long textRevision, long asOfNanos) {}
}
