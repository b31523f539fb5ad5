package org.sardinepost.daemon.token;

import java.util.List;
import java.util.Optional;
import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.http.HttpFields;
import org.sardinepost.core.call.Outcome;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.core.token.IdempotencyToken;
import org.sardinepost.daemon.call.CallHeaders;

/** Reads the token headers of a request. */
final class TokenHeaders {
    private TokenHeaders() {}

    /** Returns the token, or empty if the request has none. Throws {@link RefusedException} if it is malformed. */
    static Optional<IdempotencyToken> token(HttpFields headers) {
        List<String> values = headers.getFields(CallHeaders.TOKEN).stream()
                .map(HttpField::getValue)
                .toList();
        if (values.isEmpty()) {
            return Optional.empty();
        }
        if (values.size() > 1) {
            // One of them may be the token of a request that was executed.
            throw new RefusedException(
                    RefusalReason.TOKEN_INVALID, Outcome.UNKNOWN, "the request has more than one token");
        }
        return Optional.of(IdempotencyToken.parse(values.get(0))
                .orElseThrow(
                        () -> new RefusedException(RefusalReason.TOKEN_INVALID, "the header value is not a token")));
    }

    static boolean requestsToken(HttpFields headers) {
        return "1".equals(headers.get(CallHeaders.TOKEN_REQUEST));
    }
}
