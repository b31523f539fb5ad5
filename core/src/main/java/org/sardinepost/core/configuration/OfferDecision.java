package org.sardinepost.core.configuration;

/** What became of an offered services text. */
public enum OfferDecision {
    /** The text is in force now, in place of a lower version or of none. */
    ACCEPTED,
    /** The text is in force now, in place of a later submission of the same version. */
    CONFLICT_REPLACED,
    /** The text has the version in force and other content, and was submitted later. */
    CONFLICT_REFUSED,
    /** The text is the one in force. */
    SAME,
    /** The text has a lower version than the one in force. */
    OLDER,
    /** The text has faults. */
    INVALID;

    /** Whether the text in force changed. */
    public boolean changed() {
        return this == ACCEPTED || this == CONFLICT_REPLACED;
    }
}
