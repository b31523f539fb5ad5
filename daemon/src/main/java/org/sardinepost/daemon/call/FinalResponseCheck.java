package org.sardinepost.daemon.call;

import java.util.Optional;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.http.HttpStatus;

/** Checks that the head of a response is one that HTTP permits for a final response. */
final class FinalResponseCheck {
    private static final int MIN_STATUS = 200;
    private static final int MAX_STATUS = 599;

    private FinalResponseCheck() {}

    /** Returns what is wrong with the head of a response; empty if the response may be passed on. */
    static Optional<String> violation(int status, HttpFields headers) {
        if (status < MIN_STATUS) {
            return Optional.of("interim response " + status + " instead of a final one");
        }
        if (status > MAX_STATUS) {
            return Optional.of("status " + status + ", which HTTP does not define");
        }
        if (status == HttpStatus.NO_CONTENT_204 && announcesBody(headers)) {
            return Optional.of("a body with status 204, which has none");
        }
        return Optional.empty();
    }

    private static boolean announcesBody(HttpFields headers) {
        return headers.getLongField(HttpHeader.CONTENT_LENGTH) > 0 || headers.contains(HttpHeader.TRANSFER_ENCODING);
    }
}
