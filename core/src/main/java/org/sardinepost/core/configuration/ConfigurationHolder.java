package org.sardinepost.core.configuration;

import java.util.Optional;
import java.util.function.Function;
import org.sardinepost.core.ini.Checked;
import org.sardinepost.core.text.ServicesText;

/**
 * Keeps the services text in force.
 *
 * <p>Texts are ordered by version, and within one version by the platform's revision, where the earlier submission wins.
 * A daemon only moves up in this order. Hence the order in which daemons learn of texts does not matter, and all daemons
 * that exchange texts end with the same one.
 *
 * <p>Not thread-safe: the control thread owns it.
 */
public final class ConfigurationHolder {
    private final Function<String, Checked<ServicesText>> reader;
    private Optional<AcceptedText> inForce = Optional.empty();
    private Optional<RefusedText> refused = Optional.empty();
    private Optional<ConfigurationConflict> conflict = Optional.empty();

    /** Creates a holder that checks each text with the reader. */
    public ConfigurationHolder(Function<String, Checked<ServicesText>> reader) {
        this.reader = reader;
    }

    /** Decides on a whole text. */
    public OfferDecision offer(CandidateText candidate) {
        TextParts parts = TextParts.of(candidate.content());
        TextDigest digest = parts.textDigest();
        if (inForce.isPresent() && inForce.get().digest().equals(digest)) {
            keepEarlierRevision(candidate.revision());
            return OfferDecision.SAME;
        }
        Checked<ServicesText> checked = reader.apply(candidate.content());
        if (checked.value().isEmpty()) {
            refused =
                    Optional.of(new RefusedText(candidate.revision(), candidate.origin(), digest, checked.findings()));
            return OfferDecision.INVALID;
        }
        return decide(new AcceptedText(candidate.revision(), checked.value().get(), parts, digest));
    }

    /** Whether a text with these marks would come into force if it has no faults. */
    public boolean wants(long version, long revision, TextDigest digest) {
        if (refused.filter(text -> text.digest().equals(digest)).isPresent()) {
            return false;
        }
        return inForce.isEmpty() || precedes(inForce.get(), version, revision, digest);
    }

    /** Records a conflict with a text of which only the marks are known. */
    public void noteOffer(long version, long revision, TextDigest digest) {
        inForce.filter(held -> held.version() == version)
                .filter(held -> !held.digest().equals(digest))
                .ifPresent(held -> conflict = Optional.of(conflictOf(held, revision, digest)));
    }

    /** Records that the text in force was also submitted under an earlier revision. */
    public void noteSame(long revision, TextDigest digest) {
        if (inForce.filter(held -> held.digest().equals(digest)).isPresent()) {
            keepEarlierRevision(revision);
        }
    }

    public Optional<AcceptedText> inForce() {
        return inForce;
    }

    /** The version in force; 0 if there is none. */
    public long version() {
        return inForce.map(AcceptedText::version).orElse(0L);
    }

    /** The most recent text with faults, until a later text is accepted. */
    public Optional<RefusedText> refused() {
        return refused;
    }

    /** The conflict about the version in force, until a higher version is accepted. */
    public Optional<ConfigurationConflict> conflict() {
        return conflict;
    }

    private OfferDecision decide(AcceptedText candidate) {
        if (inForce.isEmpty()) {
            accept(candidate);
            return OfferDecision.ACCEPTED;
        }
        AcceptedText held = inForce.get();
        if (candidate.version() < held.version()) {
            return OfferDecision.OLDER;
        }
        if (candidate.version() > held.version()) {
            accept(candidate);
            return OfferDecision.ACCEPTED;
        }
        if (candidate.revision() < held.revision()) {
            inForce = Optional.of(candidate);
            conflict = Optional.of(conflictOf(candidate, held.revision(), held.digest()));
            return OfferDecision.CONFLICT_REPLACED;
        }
        conflict = Optional.of(conflictOf(held, candidate.revision(), candidate.digest()));
        return OfferDecision.CONFLICT_REFUSED;
    }

    private void accept(AcceptedText candidate) {
        inForce = Optional.of(candidate);
        refused = Optional.empty();
        conflict = Optional.empty();
    }

    private void keepEarlierRevision(long revision) {
        inForce = inForce.map(held -> revision < held.revision() ? held.withRevision(revision) : held);
    }

    private static boolean precedes(AcceptedText held, long version, long revision, TextDigest digest) {
        if (version != held.version()) {
            return version > held.version();
        }
        return revision < held.revision() && !digest.equals(held.digest());
    }

    private static ConfigurationConflict conflictOf(AcceptedText kept, long refusedRevision, TextDigest refused) {
        return new ConfigurationConflict(kept.version(), kept.revision(), kept.digest(), refusedRevision, refused);
    }
}
