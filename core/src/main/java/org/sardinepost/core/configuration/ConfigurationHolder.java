package org.sardinepost.core.configuration;

import java.util.Optional;
import org.sardinepost.core.ini.ValidationResult;
import org.sardinepost.core.membership.SourcePosition;
import org.sardinepost.core.text.ServicesText;

/**
 * Holds the active services text.
 *
 * <p>Texts are ordered by version, and texts with the same version by their position in the source, where the earlier
 * submission takes precedence. A daemon never goes back in this order. The order in which daemons receive texts therefore does not
 * matter, and all daemons that exchange texts converge to the same one.
 *
 * <p>Not thread-safe: only the control thread uses it.
 */
public final class ConfigurationHolder {
    private Optional<AcceptedText> activeText = Optional.empty();
    private Optional<RefusedText> refused = Optional.empty();
    private Optional<ConfigurationConflict> conflict = Optional.empty();

    /** Makes a text the active one if it is valid and replaces the current one. */
    public OfferDecision offer(ValidatedText validated) {
        CandidateText candidate = validated.candidate();
        TextDigest digest = validated.digest();
        if (activeText.isPresent() && activeText.get().digest().equals(digest)) {
            keepEarlierPosition(candidate.position());
            return OfferDecision.SAME;
        }
        ValidationResult<ServicesText> result = validated.result();
        if (result.value().isEmpty()) {
            refused = Optional.of(new RefusedText(candidate.position(), candidate.origin(), digest, result.findings()));
            return OfferDecision.INVALID;
        }
        return decide(new AcceptedText(candidate.position(), result.value().get(), validated.parts(), digest));
    }

    /** Returns whether a text with these properties would become the active one if it is valid. */
    public boolean shouldFetch(long version, SourcePosition position, TextDigest digest) {
        if (refused.filter(text -> text.digest().equals(digest)).isPresent()) {
            return false;
        }
        return activeText.isEmpty() || replacesActive(activeText.get(), version, position, digest);
    }

    /** Records a conflict if a text with these properties, whose content is unknown, conflicts with the active one. */
    public void recordOffer(long version, SourcePosition position, TextDigest digest) {
        activeText
                .filter(active -> active.version() == version)
                .filter(active -> !active.digest().equals(digest))
                .ifPresent(active -> conflict = Optional.of(createConflict(active, position, digest)));
    }

    /** Keeps the earlier position if the active text was also submitted at this position. */
    public void recordPosition(SourcePosition position, TextDigest digest) {
        if (activeText.filter(active -> active.digest().equals(digest)).isPresent()) {
            keepEarlierPosition(position);
        }
    }

    public Optional<AcceptedText> activeText() {
        return activeText;
    }

    /** Returns the version of the active text; 0 if there is none. */
    public long version() {
        return activeText.map(AcceptedText::version).orElse(0L);
    }

    /** Returns the most recent invalid text, until a higher version is accepted. */
    public Optional<RefusedText> refused() {
        return refused;
    }

    /** Returns the conflict about the active version, until a higher version is accepted. */
    public Optional<ConfigurationConflict> conflict() {
        return conflict;
    }

    private OfferDecision decide(AcceptedText candidate) {
        if (activeText.isEmpty()) {
            accept(candidate);
            return OfferDecision.ACCEPTED;
        }
        AcceptedText active = activeText.get();
        if (candidate.version() < active.version()) {
            return OfferDecision.OLDER;
        }
        if (candidate.version() > active.version()) {
            accept(candidate);
            return OfferDecision.ACCEPTED;
        }
        if (candidate.position().precedes(active.position())) {
            activeText = Optional.of(candidate);
            conflict = Optional.of(createConflict(candidate, active.position(), active.digest()));
            return OfferDecision.CONFLICT_REPLACED;
        }
        conflict = Optional.of(createConflict(active, candidate.position(), candidate.digest()));
        return OfferDecision.CONFLICT_REFUSED;
    }

    private void accept(AcceptedText candidate) {
        activeText = Optional.of(candidate);
        refused = Optional.empty();
        conflict = Optional.empty();
    }

    private void keepEarlierPosition(SourcePosition position) {
        activeText =
                activeText.map(active -> position.precedes(active.position()) ? active.withPosition(position) : active);
    }

    private static boolean replacesActive(
            AcceptedText active, long version, SourcePosition position, TextDigest digest) {
        if (version != active.version()) {
            return version > active.version();
        }
        return position.precedes(active.position()) && !digest.equals(active.digest());
    }

    private static ConfigurationConflict createConflict(
            AcceptedText kept, SourcePosition refusedAt, TextDigest refused) {
        return new ConfigurationConflict(kept.version(), kept.position(), kept.digest(), refusedAt, refused);
    }
}
