package org.sardinepost.core.call;

import java.util.Locale;

/** The knowledge about the execution of a request. */
public enum Outcome {
    /** An upstream responded and its complete response is passed on. */
    ANSWERED,
    /** No upstream started the request. */
    NOT_RUN,
    /** The request may or may not have been executed. */
    UNKNOWN;

    /** Returns the value of the {@code Sardinepost-Outcome} header. */
    public String label() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
