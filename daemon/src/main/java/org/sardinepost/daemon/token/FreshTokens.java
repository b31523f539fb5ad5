package org.sardinepost.daemon.token;

import java.util.function.LongSupplier;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.core.token.IdempotencyToken;
import org.sardinepost.core.token.TokenTable;
import org.sardinepost.daemon.call.Call;
import org.sardinepost.daemon.call.CallHeaders;
import org.sardinepost.daemon.call.HeldAnswer;
import org.sardinepost.daemon.call.OwnAnswers;

/** Puts tokens on answers. */
final class FreshTokens {
    private final TokenTable table;
    private final LongSupplier nanoClock;

    FreshTokens(TokenTable table, LongSupplier nanoClock) {
        this.table = table;
        this.nanoClock = nanoClock;
    }

    /** The answer to a non-idempotent request without token. */
    HeldAnswer tokenRequired() {
        IdempotencyToken token = table.issue(nanoClock.getAsLong());
        return refused(
                new RefusedException(RefusalReason.TOKEN_REQUIRED, "a non-idempotent request needs a token"), token);
    }

    /** An answer that refuses a request and carries the token for its repeat. */
    static HeldAnswer refused(RefusedException refusal, IdempotencyToken token) {
        return OwnAnswers.of(refusal).withHeader(CallHeaders.TOKEN, token.encode());
    }

    /**
     * Adds a fresh token if the answer has none.
     *
     * <p>A forwarding daemon adds its own token instead of the issuer's, because the caller is connected to it.
     */
    HeldAnswer addTo(Call call, HeldAnswer answer) {
        boolean wanted = call.forwardedBy().isEmpty() && !answer.headers().contains(CallHeaders.TOKEN);
        return wanted ? addIfPossible(answer) : answer;
    }

    /** An answer is passed on without token rather than lost when no token can be issued. */
    private HeldAnswer addIfPossible(HeldAnswer answer) {
        try {
            return answer.withHeader(
                    CallHeaders.TOKEN, table.issue(nanoClock.getAsLong()).encode());
        } catch (RefusedException refused) {
            return answer;
        }
    }
}
