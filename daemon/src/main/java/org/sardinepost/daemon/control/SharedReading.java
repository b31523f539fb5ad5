package org.sardinepost.daemon.control;

import com.google.protobuf.ByteString;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.sardinepost.core.configuration.CandidateText;
import org.sardinepost.core.configuration.ReadTurn;
import org.sardinepost.core.configuration.TextDigest;
import org.sardinepost.core.configuration.TextOrigin;
import org.sardinepost.core.membership.RendezvousHash;
import org.sardinepost.daemon.log.LogEvent;
import org.sardinepost.peer.generated.PeerMessage;
import org.sardinepost.peer.generated.SourceState;

/**
 * Keeps the services text and the VM list current from a source that one daemon reads for all.
 *
 * <p>The reader tells its peers the revision of the source, and the VM list when it has changed. A peer that lacks a change,
 * because a message was lost or it has just started, notices that by the digest and reads the source itself when its turn
 * comes. All state belongs to the control thread.
 */
final class SharedReading {
    private static final long READER_ORDER = RendezvousHash.subject("reader of the source");

    /** One of them may be frozen. */
    private static final int TELLING_DAEMONS = 2;

    private final PolledSource source;
    private final PeerTable peers;
    private final ControlThread control;
    private final ConfigurationControl configuration;
    private final MembershipControl membership;
    private final Runnable onRead;
    private final Clock clock;
    private final ReadTurn turn = new ReadTurn();
    private Optional<String> vmList = Optional.empty();
    private Optional<TextDigest> vmListDigest = Optional.empty();
    private Optional<Awaited> awaited = Optional.empty();
    private long revision;
    private long textRevision;
    private long reads;
    private boolean down;

    SharedReading(
            PolledSource source,
            PeerTable peers,
            ControlThread control,
            ConfigurationControl configuration,
            MembershipControl membership,
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

    /** Reads the source if it is this daemon's turn. */
    void tick() {
        long now = clock.nanos();
        awaited.filter(state -> heldTextRevision() >= state.textRevision()).ifPresent(state -> {
            turn.known(state.asOfNanos());
            awaited = Optional.empty();
        });
        if (turn.due(rank(), now)) {
            read(() -> {}, () -> {});
        }
    }

    /** Reads the source out of turn, and runs one of the two afterwards. */
    void read(Runnable onSuccess, Runnable onFailure) {
        long asked = clock.nanos();
        turn.started();
        reads++;
        var unused = source.read()
                .whenCompleteAsync(
                        (reading, failure) -> {
                            if (failure != null) {
                                failed(failure);
                                onFailure.run();
                            } else {
                                answered(reading, asked);
                                onSuccess.run();
                            }
                        },
                        control);
    }

    /**
     * A peer connected: it may have started while the source does not answer, so the first daemons in the order tell it the
     * whole state.
     */
    void connected(Peer peer) {
        if (vmList.isEmpty() || rank(peer) >= TELLING_DAEMONS) {
            return;
        }
        SourceState state = state(vmList.get(), turn.ageNanos(clock.nanos()));
        var unused =
                peers.send(peer, PeerMessage.newBuilder().setSourceState(state).build());
    }

    /** A peer has read the source. */
    void received(SourceState state) {
        if (state.getRevision() < revision) {
            return;
        }
        if (!state.getVmList().isEmpty()) {
            applyVmList(state.getVmList(), state.getRevision());
        }
        TextDigest told = Digests.fromWire(state.getVmListDigest());
        if (vmListDigest.filter(told::equals).isEmpty()) {
            return;
        }
        revision = state.getRevision();
        long asOf = clock.nanos() - TimeUnit.MILLISECONDS.toNanos(state.getAgeMs());
        if (heldTextRevision() >= state.getConfigurationRevision()) {
            turn.known(asOf);
        } else {
            awaited = Optional.of(new Awaited(state.getConfigurationRevision(), asOf));
        }
    }

    /** Whether the last own read failed. */
    boolean down() {
        return down;
    }

    /** How often this daemon asked the source. */
    long reads() {
        return reads;
    }

    void close() {
        source.close();
    }

    private int rank() {
        return rank(peers.activePeers().stream());
    }

    /** The rank that this daemon would have without the peer. */
    private int rank(Peer without) {
        return rank(peers.activePeers().stream().filter(peer -> peer != without));
    }

    private int rank(Stream<Peer> others) {
        String own = peers.localAddress().toString();
        return (int) others.filter(peer -> RendezvousHash.before(peer.address().toString(), own, READER_ORDER))
                .count();
    }

    private void answered(SourceReading reading, long askedNanos) {
        turn.answered(askedNanos);
        if (down) {
            down = false;
            LogEvent.CONFIGURATION_SOURCE_BACK.info(source.location());
        }
        if (reading.revision() < revision) {
            // A peer has read a newer state in the meantime.
            return;
        }
        revision = reading.revision();
        reading.servicesText().ifPresent(this::applyText);
        boolean first = vmListDigest.isEmpty();
        boolean changed = applyVmList(reading.vmList(), reading.revision());
        onRead.run();
        tellPeers(changed && !first ? reading.vmList() : "", askedNanos);
    }

    private void failed(Throwable failure) {
        turn.failed(clock.nanos());
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

    /** Whether the list differs from the one before. */
    private boolean applyVmList(String changed, long asOfRevision) {
        TextDigest digest = TextDigest.of(changed);
        if (vmListDigest.filter(digest::equals).isPresent()) {
            return false;
        }
        vmListDigest = Optional.of(digest);
        vmList = Optional.of(changed);
        membership.listChanged(new SourceValue(asOfRevision, changed));
        return true;
    }

    private void tellPeers(String changedVmList, long askedNanos) {
        SourceState state = state(changedVmList, clock.nanos() - askedNanos);
        peers.sendToConnected(PeerMessage.newBuilder().setSourceState(state).build());
    }

    private SourceState state(String toldVmList, long ageNanos) {
        return SourceState.newBuilder()
                .setRevision(revision)
                .setConfigurationRevision(heldTextRevision())
                .setVmListDigest(ByteString.copyFrom(vmListDigest.orElseThrow().bytes()))
                .setVmList(toldVmList)
                .setAgeMs((int) Math.min(Integer.MAX_VALUE, TimeUnit.NANOSECONDS.toMillis(ageNanos)))
                .build();
    }

    /** A text that was refused counts as held, since reading it again changes nothing. */
    private long heldTextRevision() {
        return Math.max(textRevision, configuration.heldRevision());
    }

    /** A state that this daemon holds as soon as its peers have passed on the services text. */
    private record Awaited(long textRevision, long asOfNanos) {}
}
