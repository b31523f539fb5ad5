package org.sardinepost.daemon.control;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.sardinepost.core.configuration.AcceptedText;
import org.sardinepost.core.configuration.CandidateText;
import org.sardinepost.core.configuration.ConfigurationConflict;
import org.sardinepost.core.configuration.ConfigurationHolder;
import org.sardinepost.core.configuration.FetchSchedule;
import org.sardinepost.core.configuration.OfferDecision;
import org.sardinepost.core.configuration.TextOrigin;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.core.text.ServicesText;
import org.sardinepost.daemon.log.LogEvent;

/** Decides on services texts from the source and from peers, and when to fetch from the source. */
final class ConfigurationControl {
    private final Supplier<UpstreamId> own;
    private final ConfigurationHolder holder;
    private final TextOrigin origin;
    private final PeerTable peers;
    private final ControlThread control;
    private final Consumer<ServicesText> onInForce;
    private Optional<SourceWatch> watch = Optional.empty();
    private long announcedRevision;
    private long fetchedRevision;
    private long fetches;

    ConfigurationControl(
            Supplier<UpstreamId> own,
            ConfigurationHolder holder,
            TextOrigin origin,
            PeerTable peers,
            ControlThread control,
            Consumer<ServicesText> onInForce) {
        this.own = own;
        this.holder = holder;
        this.origin = origin;
        this.peers = peers;
        this.control = control;
        this.onInForce = onInForce;
    }

    void start(SourceWatch sourceWatch) {
        watch = Optional.of(sourceWatch);
        sourceWatch.start();
    }

    /** The source has a new revision: this daemon fetches it at once, or gives its peers time to pass it on. */
    void sourceChanged(long revision) {
        announcedRevision = revision;
        control.after(waitMillis(revision), () -> fetch(revision));
    }

    OfferDecision offer(CandidateText candidate) {
        OfferDecision decision = holder.offer(candidate);
        switch (decision) {
            case ACCEPTED, CONFLICT_REPLACED -> accepted(candidate.origin());
            case INVALID -> LogEvent.CONFIGURATION_REFUSED.warn(
                    candidate.revision(),
                    holder.version(),
                    holder.refused().orElseThrow().findings());
            case CONFLICT_REFUSED, SAME, OLDER -> {}
        }
        logConflict(decision);
        return decision;
    }

    /** A peer holds this text; if it conflicts with the one in force, that becomes visible. */
    void noteOffer(PeerOffer offer) {
        Optional<ConfigurationConflict> before = holder.conflict();
        holder.noteOffer(offer.version(), offer.revision(), offer.digest());
        holder.conflict()
                .filter(conflict -> !before.equals(Optional.of(conflict)))
                .ifPresent(LogEvent.CONFIGURATION_CONFLICT::warn);
    }

    void onControl(Runnable task) {
        control.execute(task);
    }

    ConfigurationHolder holder() {
        return holder;
    }

    /** The platform's revision of the text in force; 0 if there is none. */
    long heldRevision() {
        return holder.inForce().map(AcceptedText::revision).orElse(0L);
    }

    /** How often this daemon read the whole text from the source. */
    long fetches() {
        return fetches;
    }

    boolean sourceDown() {
        return watch.filter(SourceWatch::down).isPresent();
    }

    private long waitMillis(long revision) {
        if (origin == TextOrigin.FILE || holder.inForce().isEmpty()) {
            return 0;
        }
        List<String> active = peers.activePeers().stream()
                .map(peer -> peer.address().toString())
                .toList();
        return FetchSchedule.waitMillis(own.get().toString(), active, revision);
    }

    private void fetch(long revision) {
        if (alreadyKnown(revision)) {
            return;
        }
        fetches++;
        watch.orElseThrow().read(value -> fetched(value, revision), () -> fetchLater(revision));
    }

    private void fetched(SourceValue value, long wanted) {
        fetchedRevision = Math.max(fetchedRevision, value.revision());
        long platformRevision = origin == TextOrigin.FILE ? 0 : value.revision();
        offer(new CandidateText(platformRevision, value.content(), origin));
        if (value.revision() < wanted) {
            // A stale replica answered; the revision that the watch announced is still to come.
            fetchLater(wanted);
        }
    }

    /** The watch announces a revision only once, so a read that failed is repeated unless a newer one replaces it. */
    private void fetchLater(long revision) {
        control.after(FetchSchedule.STEP_MILLIS, () -> {
            if (revision == announcedRevision) {
                fetch(revision);
            }
        });
    }

    private boolean alreadyKnown(long revision) {
        boolean fromPeer = heldRevision() >= revision;
        return fetchedRevision >= revision || (origin != TextOrigin.FILE && fromPeer);
    }

    private void accepted(TextOrigin from) {
        AcceptedText text = holder.inForce().orElseThrow();
        LogEvent.CONFIGURATION_ACCEPTED.info(text.version(), text.revision(), from);
        onInForce.accept(text.text());
    }

    private void logConflict(OfferDecision decision) {
        if (decision == OfferDecision.CONFLICT_REFUSED || decision == OfferDecision.CONFLICT_REPLACED) {
            LogEvent.CONFIGURATION_CONFLICT.warn(holder.conflict().orElseThrow());
        }
    }
}
