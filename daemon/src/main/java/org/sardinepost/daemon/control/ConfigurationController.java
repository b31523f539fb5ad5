package org.sardinepost.daemon.control;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.sardinepost.core.configuration.AcceptedText;
import org.sardinepost.core.configuration.CandidateText;
import org.sardinepost.core.configuration.ConfigurationConflict;
import org.sardinepost.core.configuration.ConfigurationHolder;
import org.sardinepost.core.configuration.FetchSchedule;
import org.sardinepost.core.configuration.OfferDecision;
import org.sardinepost.core.configuration.TextOrigin;
import org.sardinepost.core.configuration.TextParts;
import org.sardinepost.core.configuration.TextValidator;
import org.sardinepost.core.configuration.ValidatedText;
import org.sardinepost.core.membership.SourcePosition;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.core.text.ServicesText;
import org.sardinepost.daemon.log.LogEvent;

/**
 * Decides which services texts from the source and from peers come into force, and when to fetch a text from the
 * source.
 */
final class ConfigurationController {
    private final Supplier<UpstreamId> ownAddress;
    private final ConfigurationHolder holder = new ConfigurationHolder();
    private final TextValidator validator;
    private final Executor validationThread;
    private final TextOrigin origin;
    private final PeerTable peers;
    private final ControlThread control;
    private final Consumer<ServicesText> onAccepted;
    private Optional<SourceWatch> watch = Optional.empty();
    private long reportedRevision;
    private long fetchedRevision;
    private long fetches;

    ConfigurationController(
            Supplier<UpstreamId> ownAddress,
            TextValidator validator,
            Executor validationThread,
            TextOrigin origin,
            PeerTable peers,
            ControlThread control,
            Consumer<ServicesText> onAccepted) {
        this.ownAddress = ownAddress;
        this.validator = validator;
        this.validationThread = validationThread;
        this.origin = origin;
        this.peers = peers;
        this.control = control;
        this.onAccepted = onAccepted;
    }

    void start(SourceWatch sourceWatch) {
        watch = Optional.of(sourceWatch);
        sourceWatch.start();
    }

    /** Schedules the fetch of a new revision: immediately, or after a wait in which a peer can pass the text on. */
    void scheduleFetch(long revision) {
        reportedRevision = revision;
        control.schedule(fetchDelayMillis(revision), () -> fetch(revision));
    }

    /** Validates a text and makes it the active one if it replaces the current one. */
    void offer(CandidateText candidate) {
        offer(candidate, decision -> {}, () -> {});
    }

    /**
     * Offers a text as {@link #offer(CandidateText)} does.
     *
     * @param onDecision receives the decision on the control thread
     * @param onError runs on the control thread if the validation ends without a result
     */
    void offer(CandidateText candidate, Consumer<OfferDecision> onDecision, Runnable onError) {
        offer(() -> Optional.of(validate(candidate, onError)), onDecision);
    }

    private ValidatedText validate(CandidateText candidate, Runnable onError) {
        try {
            return validator.validate(candidate);
        } catch (RuntimeException | Error e) {
            control.execute(onError);
            throw e;
        }
    }

    /**
     * Assembles a text from its sections and offers it as {@link #offer(CandidateText)} does.
     *
     * @param parts supplies the sections on the validation thread; nothing is offered if it returns empty
     * @param onDecision receives the decision on the control thread
     */
    void offerParts(SourcePosition position, Supplier<Optional<TextParts>> parts, Consumer<OfferDecision> onDecision) {
        offer(
                () -> parts.get()
                        .map(assembled -> validator.validate(
                                new CandidateText(position, assembled.text(), TextOrigin.PEER), assembled)),
                onDecision);
    }

    /**
     * Runs on the validation thread what a text needs until it can be compared with the active one, since that takes
     * longer for a large text than a placement request may wait for the control thread.
     */
    private void offer(Supplier<Optional<ValidatedText>> validation, Consumer<OfferDecision> onDecision) {
        validationThread.execute(() ->
                validation.get().ifPresent(validated -> control.execute(() -> onDecision.accept(decide(validated)))));
    }

    private OfferDecision decide(ValidatedText validated) {
        OfferDecision decision = holder.offer(validated);
        switch (decision) {
            case ACCEPTED, CONFLICT_REPLACED -> accepted(validated.candidate().origin());
            case INVALID -> LogEvent.CONFIGURATION_REFUSED.warn(
                    validated.candidate().position(),
                    holder.version(),
                    holder.refused().orElseThrow().findings());
            case CONFLICT_REFUSED, SAME, OLDER -> {}
        }
        logConflict(decision);
        return decision;
    }

    /** Records the text that a peer holds, and logs a new conflict with the active text. */
    void recordPeerOffer(PeerOffer offer) {
        Optional<ConfigurationConflict> before = holder.conflict();
        holder.recordOffer(offer.version(), offer.position(), offer.digest());
        holder.conflict()
                .filter(conflict -> !before.equals(Optional.of(conflict)))
                .ifPresent(LogEvent.CONFIGURATION_CONFLICT::warn);
    }

    void runOnControlThread(Runnable task) {
        control.execute(task);
    }

    ConfigurationHolder holder() {
        return holder;
    }

    /** Returns the position of the active text in the source; the origin if there is none. */
    SourcePosition heldPosition() {
        return holder.activeText().map(AcceptedText::position).orElse(SourcePosition.ORIGIN);
    }

    /** Returns the number of times that this daemon read the whole text from the source. */
    long fetches() {
        return fetches;
    }

    boolean sourceDown() {
        return watch.filter(SourceWatch::down).isPresent();
    }

    private long fetchDelayMillis(long revision) {
        if (origin == TextOrigin.FILE || holder.activeText().isEmpty()) {
            return 0;
        }
        List<String> active = peers.activePeers().stream()
                .map(peer -> peer.address().toString())
                .toList();
        return FetchSchedule.waitMillis(ownAddress.get().toString(), active, revision);
    }

    private void fetch(long revision) {
        if (alreadyKnown(revision)) {
            return;
        }
        fetches++;
        watch.orElseThrow().read(value -> handleFetched(value, revision), () -> scheduleRetry(revision));
    }

    private void handleFetched(SourceValue value, long wantedRevision) {
        fetchedRevision = Math.max(fetchedRevision, value.revision());
        SourcePosition position =
                origin == TextOrigin.FILE ? SourcePosition.ORIGIN : SourcePosition.ofRevision(value.revision());
        offer(new CandidateText(position, value.content(), origin));
        if (value.revision() < wantedRevision) {
            // A stale replica responded, which does not have the revision that the watch reported.
            scheduleRetry(wantedRevision);
        }
    }

    /** Retries a read, unless a newer revision was reported: the watch reports each revision only once. */
    private void scheduleRetry(long revision) {
        control.schedule(FetchSchedule.STEP_MILLIS, () -> {
            if (revision == reportedRevision) {
                fetch(revision);
            }
        });
    }

    private boolean alreadyKnown(long revision) {
        boolean fromPeer = !heldPosition().precedes(SourcePosition.ofRevision(revision));
        return fetchedRevision >= revision || (origin != TextOrigin.FILE && fromPeer);
    }

    private void accepted(TextOrigin from) {
        AcceptedText text = holder.activeText().orElseThrow();
        LogEvent.CONFIGURATION_ACCEPTED.info(text.version(), text.position(), from);
        onAccepted.accept(text.text());
    }

    private void logConflict(OfferDecision decision) {
        if (decision == OfferDecision.CONFLICT_REFUSED || decision == OfferDecision.CONFLICT_REPLACED) {
            LogEvent.CONFIGURATION_CONFLICT.warn(holder.conflict().orElseThrow());
        }
    }
}
