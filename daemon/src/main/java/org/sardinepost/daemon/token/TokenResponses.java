package org.sardinepost.daemon.token;

import java.util.function.LongSupplier;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.core.token.IdempotencyToken;
import org.sardinepost.core.token.TokenTable;
import org.sardinepost.daemon.call.BufferedResponse;
import org.sardinepost.daemon.call.Call;
import org.sardinepost.daemon.call.CallHeaders;
import org.sardinepost.daemon.call.LocalResponses;

/** Adds idempotency tokens to responses. */
final class TokenResponses {
    private final TokenTable table;
    private final LongSupplier nanoClock;

    TokenResponses(TokenTable table, LongSupplier nanoClock) {
        this.table = table;
        this.nanoClock = nanoClock;
    }

    /** Returns the response to a non-idempotent request without a token. */
    BufferedResponse tokenRequired() {
        IdempotencyToken token = table.issue(nanoClock.getAsLong());
        return refusalWithToken(
                new RefusedException(RefusalReason.TOKEN_REQUIRED, "a non-idempotent request needs a token"), token);
    }

    /** Returns a refusal with the token that the caller must send with a retry. */
    static BufferedResponse refusalWithToken(RefusedException refusal, IdempotencyToken token) {
        return LocalResponses.of(refusal).withHeader(CallHeaders.TOKEN, token.encode());
    }

    /**
     * Adds a new token if the response has none.
     *
     * <p>If a request was forwarded, the forwarding daemon adds the token instead of the issuer, because the caller is
     * connected to it.
     */
    BufferedResponse addToken(Call call, BufferedResponse response) {
        boolean needsToken = call.forwardedBy().isEmpty() && !response.headers().contains(CallHeaders.TOKEN);
        return needsToken ? addNewToken(response) : response;
    }

    /**
     * Adds a new token to a response. If no token can be issued, the response is returned without one rather than lost.
     */
    private BufferedResponse addNewToken(BufferedResponse response) {
        try {
            return response.withHeader(
                    CallHeaders.TOKEN, table.issue(nanoClock.getAsLong()).encode());
        } catch (RefusedException refusal) {
            return response;
        }
    }
}
