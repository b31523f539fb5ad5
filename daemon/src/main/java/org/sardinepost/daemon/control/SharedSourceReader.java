package org.sardinepost.daemon.control;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.sardinepost.core.configuration.CandidateText;
import org.sardinepost.core.configuration.OfferDecision;
import org.sardinepost.core.configuration.ReadSchedule;
import org.sardinepost.core.configuration.TextDigest;
import org.sardinepost.core.configuration.TextOrigin;
import org.sardinepost.core.membership.DisturbanceDetector;
import org.sardinepost.core.membership.RendezvousHash;
import org.sardinepost.core.membership.SourcePosition;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.daemon.log.LogEvent;
import org.sardinepost.peer.generated.PeerMessage;
import org.sardinepost.peer.generated.SourceState;
import org.sardinepost.peer.generated.SourceStateRequest;

/**
 * Keeps the services text and the VM list up to date from a source that one daemon reads on behalf of all.
 *
 * <p>After each read, that daemon sends the revision of the source to its peers, with the change of the VM list if there
 * is one. A peer that lacks a change, because a message was lost, detects this by the digest and reads the source itself
 * when {@link ReadSchedule} allows it. A daemon that has just started requests the whole state from its peers. A daemon
 * whose state is overdue sends its age to one peer after the other, and a peer that holds a newer state returns it; so the
 * reader's messages may be lost without a read by each daemon that lacks them. All state is confined to the control thread.
 *
 * <p>States are ordered by {@link SourcePosition}. The daemon that detects that the source has returned from an older copy begins
 * a new epoch, and a peer that learns of it reads all items when it next reads the source.
 */
final class SharedSourceReader {
    private static final long READER_KEY = RendezvousHash.keyOf("reader of the source");

    /** The number of peers that a daemon without state asks at once; more than one, since one may be frozen. */
    private static final int INITIAL_STATE_REQUESTS = 2;

    /** An older disturbance no longer explains why an entry is missing. */
    private static final long MAX_REPORTED_DISTURBANCE_AGE_NANOS = TimeUnit.SECONDS.toNanos(10);

    /** Longest time to wait for a text; a peer that takes longer has failed. */
    private static final long MAX_TEXT_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /**
     * A state that is newer by less may be the same one, since the time that a message takes is not part of the age that it
     * tells.
     */
    private static final long MIN_NEWER_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    /** Fleets of a hundred daemons thus exchange a few messages per second and daemon while the source is down. */
    private static final long INQUIRY_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(400);

    private static final PeerMessage STATE_REQUEST = PeerMessage.newBuilder()
            .setSourceStateRequest(SourceStateRequest.getDefaultInstance())
            .build();

    private final PolledSource source;
    private final PeerTable peers;
    private final ControlThread control;
    private final ConfigurationController configuration;
    private final MembershipController membership;
    private final Runnable onRead;
    private final BooleanSupplier receivingText;
    private final Clock clock;
    private final ReadSchedule readSchedule = new ReadSchedule();
    private final DisturbanceDetector disturbances;
    private final SourceStateLog stateLog;
    private final Set<UpstreamId> askedPeers = new HashSet<>();
    private final Set<UpstreamId> peersAwaitingState = new HashSet<>();
    private Optional<VmListText> vmList = Optional.empty();
    private Optional<PendingState> pendingState = Optional.empty();
    private SourcePosition position = SourcePosition.ORIGIN;

    /** The highest position of which this daemon has heard, also if it could not apply that state. */
    private SourcePosition highestKnown = SourcePosition.ORIGIN;

    /** The highest known position when the reads in progress began. */
    private SourcePosition knownAtStart = SourcePosition.ORIGIN;

    private SourcePosition offeredText = SourcePosition.ORIGIN;

    /** The text that was read and is either being validated or refused; the origin if there is none. */
    private SourcePosition inactiveText = SourcePosition.ORIGIN;

    private int readsInProgress;
    private long reads;
    private boolean down;
    private int inquiries;
    private long lastInquiryNanos;

    SharedSourceReader(
            PolledSource source,
            PeerTable peers,
            ControlThread control,
            ConfigurationController configuration,
            MembershipController membership,
            Runnable onRead,
            BooleanSupplier receivingText,
            Clock clock) {
        this.source = source;
        this.peers = peers;
        this.control = control;
        this.configuration = configuration;
        this.membership = membership;
        this.onRead = onRead;
        this.receivingText = receivingText;
        this.clock = clock;
        this.disturbances = new DisturbanceDetector(clock.nanos());
        this.stateLog = new SourceStateLog(source.location());
        this.lastInquiryNanos = clock.nanos();
    }

    /** Reads the source if this daemon is due to read it. */
    void tick() {
        long now = clock.nanos();
        disturbances.tick(peers.isolated(), now);
        pendingState.filter(state -> !heldText().precedes(state.textPosition())).ifPresent(state -> {
            readSchedule.stateReceived(state.asOfNanos());
            pendingState = Optional.empty();
        });
        if (readSchedule.hasState()) {
            stateLog.observe(
                    now - readSchedule.ageNanos(now),
                    position.revision(),
                    configuration.holder().version(),
                    now);
        }
        if (vmList.isEmpty()) {
            requestStateFromNextPeer();
        }
        if (!waitsForText(now) && readSchedule.due(peers.rank(READER_KEY), now)) {
            read(() -> {}, () -> {});
        }
        if (readSchedule.overdue(now) && now - lastInquiryNanos >= INQUIRY_INTERVAL_NANOS) {
            lastInquiryNanos = now;
            vmList.ifPresent(this::sendAgeToNextPeer);
        }
    }

    /**
     * Returns whether this daemon lacks only a text that a peer is passing on. Reading a large text takes longer than
     * receiving the rest of it, and all daemons would read it at the same time.
     */
    private boolean waitsForText(long nowNanos) {
        return receivingText.getAsBoolean()
                && pendingState
                        .filter(pending -> nowNanos - pending.sinceNanos() < MAX_TEXT_WAIT_NANOS)
                        .isPresent();
    }

    /** Reads the source immediately, whether or not this daemon is due, and then runs one of the two callbacks. */
    void read(Runnable onSuccess, Runnable onFailure) {
        long startNanos = clock.nanos();
        readSchedule.started();
        reads++;
        if (readsInProgress == 0) {
            knownAtStart = highestKnown;
        }
        readsInProgress++;
        var unused = startRead()
                .whenCompleteAsync(
                        (snapshot, failure) -> {
                            readsInProgress--;
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

    /** Starts a read. If the source throws, the read has failed; otherwise it would never end. */
    private CompletableFuture<SourceSnapshot> startRead() {
        try {
            return source.read();
        } catch (RuntimeException | Error e) {
            return CompletableFuture.failedFuture(e);
        }
    }

    /** Requests the state from a peer that connected, if this daemon has none. The source may be down. */
    void peerConnected(Peer peer) {
        if (vmList.isEmpty() && askedPeers.size() < INITIAL_STATE_REQUESTS) {
            requestState(peer);
        }
    }

    /** Sends the whole state to a peer, as soon as this daemon has one. */
    void handleStateRequest(Peer peer) {
        vmList.ifPresentOrElse(list -> sendState(peer, list), () -> peersAwaitingState.add(peer.address()));
    }

    /**
     * Applies the state that a peer sent. If this daemon lacks the list that the state is a change to, and cannot read the
     * source itself, it requests the whole state. A peer whose state is overdue gets a newer one in return.
     */
    void handleState(Peer peer, SourceState state) {
        long now = clock.nanos();
        long asOf = now - TimeUnit.MILLISECONDS.toNanos(state.getAgeMs());
        if (state.hasDisturbanceAgeMs()) {
            recordDisturbanceOfPeer(state.getDisturbanceAgeMs());
        }
        SourcePosition sent = SourceStateCodec.position(state);
        if (sent.precedesEpochOf(highestKnown)) {
            reportEpoch(peer, state);
            return;
        }
        boolean returned = highestKnown.precedesEpochOf(sent);
        if (returned) {
            sourceReturned("peer " + peer.address(), sent);
            source.forgetHistory();
        }
        highestKnown = SourcePosition.later(highestKnown, sent);
        if (readSchedule.hasState() && !position.precedes(sent)) {
            long newerNanos = readSchedule.ageNanos(now) - (now - asOf);
            if (newerNanos < MIN_NEWER_NANOS) {
                if (newerNanos <= -MIN_NEWER_NANOS && ReadSchedule.overdue(asOf, now)) {
                    vmList.ifPresent(list -> sendState(peer, list));
                }
                return;
            }
        }
        readSchedule.responded(asOf);
        recordResponse(asOf);
        if (sent.precedes(position) || isOutdated(sent, asOf, now)) {
            return;
        }
        SourceStateCodec.decode(state, vmList).ifPresent(list -> applyVmList(list, sent, VmListOrigin.PEER, asOf));
        TextDigest sentDigest = Digests.fromWire(state.getVmListDigest());
        if (vmList.filter(list -> list.digest().equals(sentDigest)).isEmpty()) {
            if (down || returned) {
                requestState(peer);
            }
            return;
        }
        position = sent;
        SourcePosition sentText = SourceStateCodec.textPosition(state);
        if (heldText().precedes(sentText)) {
            long since = pendingState
                    .filter(pending -> pending.textPosition().equals(sentText))
                    .map(PendingState::sinceNanos)
                    .orElse(clock.nanos());
            pendingState = Optional.of(new PendingState(sentText, asOf, since));
        } else {
            readSchedule.stateReceived(asOf);
        }
        sendStateToAwaitingPeers();
    }

    /**
     * Returns whether a state of a later epoch is older than the one held. A daemon that was cut off may have begun that epoch, and
     * its list may still have upstreams that have left since.
     */
    private boolean isOutdated(SourcePosition sent, long asOfNanos, long nowNanos) {
        return position.precedesEpochOf(sent)
                && readSchedule.hasState()
                && nowNanos - asOfNanos > readSchedule.ageNanos(nowNanos);
    }

    /** Returns whether the last read by this daemon failed. */
    boolean down() {
        return down;
    }

    /** Returns how long ago the source had the state that this daemon holds; empty if it holds none. */
    Optional<Long> stateAgeMillis() {
        return readSchedule.hasState()
                ? Optional.of(TimeUnit.NANOSECONDS.toMillis(readSchedule.ageNanos(clock.nanos())))
                : Optional.empty();
    }

    /** Returns the number of reads by this daemon. */
    long reads() {
        return reads;
    }

    void close() {
        source.close();
    }

    /** Asks one peer after the other, since a peer may be frozen or have no state either. */
    private void requestStateFromNextPeer() {
        List<Peer> connected = peers.connected();
        Optional<Peer> next = connected.stream()
                .filter(peer -> !askedPeers.contains(peer.address()))
                .findFirst();
        if (next.isEmpty()) {
            askedPeers.clear();
        }
        next.ifPresent(this::requestState);
    }

    /** Asks each peer in turn. Each daemon starts with another one, so that no peer is asked by all of them. */
    private void sendAgeToNextPeer(VmListText list) {
        List<Peer> connected = peers.connected();
        if (connected.isEmpty()) {
            return;
        }
        int next = Math.floorMod(peers.localAddress().hashCode() + inquiries++, connected.size());
        send(connected.get(next), stateMessage(list, readSchedule.ageNanos(clock.nanos())));
    }

    private void requestState(Peer peer) {
        askedPeers.add(peer.address());
        var unused = peers.send(peer, STATE_REQUEST);
    }

    private void handleSnapshot(SourceSnapshot snapshot, long startNanos) {
        recordResponse(clock.nanos());
        if (snapshot.historyLost()) {
            LogEvent.SOURCE_HISTORY_LOST.info(source.location());
        }
        if (down) {
            down = false;
            stateLog.readRecovered();
        }
        if (knownAtStart.precedesEpochOf(highestKnown)) {
            // The source has returned from an older copy during the read, so the response may be from before that.
            readSchedule.discarded();
            return;
        }
        readSchedule.completed(startNanos);
        SourcePosition readPosition = knownAtStart.afterRead(snapshot.revision(), snapshot.historyReplaced());
        if (readPosition.precedes(position)) {
            // A peer sent a newer state during the read.
            return;
        }
        boolean returned = highestKnown.precedesEpochOf(readPosition);
        if (returned) {
            sourceReturned("own read", readPosition);
        }
        position = readPosition;
        highestKnown = SourcePosition.later(highestKnown, readPosition);
        Optional<VmListText> previous = vmList;
        VmListText read = VmListText.of(snapshot.vmList());
        Runnable broadcast =
                () -> vmList.filter(read::equals).ifPresent(current -> broadcastState(previous, current, startNanos));
        // Peers would read the source for the text of an older copy, unless they are told that it is not in force.
        snapshot.servicesText().ifPresent(text -> applyText(text, returned ? broadcast : () -> {}));
        applyVmList(read, position, VmListOrigin.OWN_READ, startNanos);
        onRead.run();
        if (!returned || snapshot.servicesText().isEmpty()) {
            broadcast.run();
        }
        sendStateToAwaitingPeers();
        if (returned && !snapshot.historyReplaced()) {
            // What the source keeps from earlier reads may be of the time before its return.
            source.forgetHistory();
            read(() -> {}, () -> {});
        }
    }

    private void sourceReturned(String detectedBy, SourcePosition newPosition) {
        LogEvent.SOURCE_RETURNED.warn(source.location(), detectedBy, newPosition, highestKnown);
        membership.registryDisturbed(clock.nanos());
    }

    /** Tells a peer that the source has returned from an older copy. A daemon of an earlier release would not understand it. */
    private void reportEpoch(Peer peer, SourceState state) {
        if (state.hasEpoch()) {
            vmList.ifPresent(list -> send(peer, stateMessage(list, readSchedule.ageNanos(clock.nanos()))));
        }
    }

    private void handleFailure(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        readSchedule.failed(clock.nanos());
        down = true;
        stateLog.readFailed(cause, clock.nanos());
    }

    /** Records that the source responded to this daemon or a peer, which tells whether it was away before. */
    private void recordResponse(long respondedNanos) {
        stateLog.responded(respondedNanos);
        Optional<Duration> away = disturbances.responded(respondedNanos);
        away.ifPresent(duration -> {
            LogEvent.SOURCE_AWAY.warn(source.location(), duration.toMillis());
            membership.registryDisturbed(respondedNanos);
        });
    }

    private void recordDisturbanceOfPeer(long ageMillis) {
        long disturbedNanos = clock.nanos() - TimeUnit.MILLISECONDS.toNanos(ageMillis);
        if (disturbances.reportedByPeer(disturbedNanos)) {
            LogEvent.SOURCE_AWAY_BY_PEER.info(source.location(), ageMillis);
            membership.registryDisturbed(disturbedNanos);
        }
    }

    private void applyText(SourceValue text, Runnable onDecision) {
        SourcePosition textPosition = position.withRevision(text.revision());
        // Not by order: after a return of the source, the first read may still have a text of the time before.
        if (offeredText.equals(textPosition)) {
            onDecision.run();
            return;
        }
        offeredText = textPosition;
        inactiveText = textPosition;
        configuration.offer(
                new CandidateText(textPosition, text.content(), TextOrigin.SERVICE),
                decision -> {
                    if (decision != OfferDecision.INVALID && decision != OfferDecision.CONFLICT_REFUSED) {
                        endValidation(textPosition);
                    }
                    onDecision.run();
                },
                () -> forgetText(textPosition));
    }

    private void endValidation(SourcePosition textPosition) {
        if (inactiveText.equals(textPosition)) {
            inactiveText = SourcePosition.ORIGIN;
        }
    }

    /** Lets the next read offer a text again whose validation ended with an error. */
    private void forgetText(SourcePosition textPosition) {
        endValidation(textPosition);
        if (offeredText.equals(textPosition)) {
            offeredText = SourcePosition.ORIGIN;
        }
    }

    private void applyVmList(VmListText newVmList, SourcePosition asOf, VmListOrigin origin, long asOfNanos) {
        if (vmList.filter(newVmList::equals).isPresent()) {
            return;
        }
        vmList = Optional.of(newVmList);
        askedPeers.clear();
        LogEvent.VM_LIST_RECEIVED.info(asOf, origin.label(), millis(clock.nanos() - asOfNanos));
        membership.applyVmList(asOf, newVmList.content());
    }

    /** Tells the peers what was read. A peer that does not hold the previous VM list reads the source itself. */
    private void broadcastState(Optional<VmListText> previous, VmListText current, long startNanos) {
        SourceState.Builder state = stateMessage(current, clock.nanos() - startNanos);
        previous.filter(base -> !base.equals(current))
                .ifPresent(base -> state.setVmListChange(SourceStateCodec.encodeChange(base, current)));
        peers.sendToConnected(PeerMessage.newBuilder().setSourceState(state).build());
    }

    private void sendStateToAwaitingPeers() {
        peersAwaitingState.stream()
                .flatMap(address -> peers.find(address).stream())
                .forEach(peer -> sendState(peer, vmList.orElseThrow()));
        peersAwaitingState.clear();
    }

    private void sendState(Peer peer, VmListText list) {
        send(
                peer,
                stateMessage(list, readSchedule.ageNanos(clock.nanos()))
                        .setVmListDeflated(DeflatedText.deflate(list.content())));
    }

    private void send(Peer peer, SourceState.Builder state) {
        var unused =
                peers.send(peer, PeerMessage.newBuilder().setSourceState(state).build());
    }

    private SourceState.Builder stateMessage(VmListText list, long ageNanos) {
        SourcePosition text = heldText();
        SourceState.Builder state = SourceState.newBuilder()
                .setRevision(position.revision())
                .setEpoch(position.epoch())
                .setConfigurationRevision(text.revision())
                .setConfigurationEpoch(text.epoch())
                .setVmListDigest(Digests.toWire(list.digest()))
                .setAgeMs(millis(ageNanos));
        disturbances
                .lastDisturbedNanos()
                .map(disturbed -> clock.nanos() - disturbed)
                .filter(age -> age < MAX_REPORTED_DISTURBANCE_AGE_NANOS)
                .ifPresent(age -> state.setDisturbanceAgeMs(millis(age)));
        return state;
    }

    private static int millis(long nanos) {
        return (int) Math.min(Integer.MAX_VALUE, TimeUnit.NANOSECONDS.toMillis(nanos));
    }

    /**
     * Returns the position of the newest text that is active, being validated or refused. A refused text counts, since reading it
     * again would not help. A text that is older than the active one, or the same, does not count: peers need not get it.
     */
    private SourcePosition heldText() {
        return SourcePosition.later(inactiveText, configuration.heldPosition());
    }

    /**
     * A state that lacks only the services text, which the peers are still passing on.
     *
     * @param sinceNanos when this daemon first learned of the text
     */
    private record PendingState(SourcePosition textPosition, long asOfNanos, long sinceNanos) {}
}
