package org.sardinepost.daemon.token;

import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.core.token.TokenDecision;
import org.sardinepost.daemon.call.HeldAnswer;
import org.sardinepost.daemon.call.OwnAnswers;

/** The daemon's own answers to requests that the token table refuses. */
final class DecisionAnswers {
    private DecisionAnswers() {}

    static HeldAnswer of(TokenDecision decision) {
        if (decision instanceof TokenDecision.Renewed renewed) {
            RefusedException refusal = new RefusedException(
                    RefusalReason.TOKEN_REQUIRED, "the token was renewed because an earlier send did not run");
            return FreshTokens.refused(refusal, renewed.renewed());
        }
        if (decision instanceof TokenDecision.NoRoomForAnswer none) {
            RefusedException refusal =
                    new RefusedException(RefusalReason.HELD_BYTES_FULL, "there is no room to store the answer");
            return FreshTokens.refused(refusal, none.renewed());
        }
        return OwnAnswers.of(refusal(decision));
    }

    private static RefusedException refusal(TokenDecision decision) {
        if (decision instanceof TokenDecision.Mismatch) {
            return new RefusedException(RefusalReason.TOKEN_REUSED, "the token belongs to another request");
        }
        if (decision instanceof TokenDecision.Invalid) {
            return new RefusedException(RefusalReason.TOKEN_INVALID, "the signature of the token is wrong");
        }
        if (decision instanceof TokenDecision.Expired) {
            return new RefusedException(RefusalReason.TOKEN_EXPIRED, "the token has expired");
        }
        return new RefusedException(
                RefusalReason.UPSTREAM_FAILED, "an earlier send of this token got no answer and is not repeated");
    }
}
