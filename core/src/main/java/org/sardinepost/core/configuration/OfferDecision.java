package org.sardinepost.core.configuration;

/** The result of offering a services text. */
public enum OfferDecision {
    /** The text became active and replaced a lower version or no text. */
    ACCEPTED,
    /** The text became active and replaced a later submission of the same version. */
    CONFLICT_REPLACED,
    /** The text has the active version but different content, and was not submitted earlier. */
    CONFLICT_REFUSED,
    /** The text is identical to the active one. */
    SAME,
    /** The text has a lower version than the active one. */
    OLDER,
    /** The text is invalid. */
    INVALID;

    /** Returns whether the active text changed. */
    public boolean changed() {
        return this == ACCEPTED || this == CONFLICT_REPLACED;
    }
}
