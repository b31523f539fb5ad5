package org.sardinepost.daemon.token;

import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.core.token.TokenDecision;
import org.sardinepost.daemon.call.BufferedResponse;
import org.sardinepost.daemon.call.LocalResponses;

/** Builds the responses to requests that the token table rejects. */
final class DecisionResponses {
    private DecisionResponses() {}

    static BufferedResponse of(TokenDecision decision) {
        if (decision instanceof TokenDecision.Renewed renewed) {
            RefusedException refusal = new RefusedException(
                    RefusalReason.TOKEN_REQUIRED,
                    "the token was renewed because the request was not executed in an earlier attempt");
            return TokenResponses.refusalWithToken(refusal, renewed.renewed());
        }
        if (decision instanceof TokenDecision.ResponseBudgetFull noRoom) {
            RefusedException refusal =
                    new RefusedException(RefusalReason.HELD_BYTES_FULL, "there is no space left to store the response");
            return TokenResponses.refusalWithToken(refusal, noRoom.renewed());
        }
        return LocalResponses.of(refusal(decision));
    }

    private static RefusedException refusal(TokenDecision decision) {
        if (decision instanceof TokenDecision.Mismatch) {
            return new RefusedException(RefusalReason.TOKEN_REUSED, "the token belongs to another request");
        }
        if (decision instanceof TokenDecision.Invalid) {
            return new RefusedException(RefusalReason.TOKEN_INVALID, "the signature of the token is invalid");
        }
        if (decision instanceof TokenDecision.Expired) {
            return new RefusedException(RefusalReason.TOKEN_EXPIRED, "the token has expired");
        }
        return new RefusedException(
                RefusalReason.UPSTREAM_FAILED,
                "an earlier attempt with this token received no response and is not repeated");
    }
}
