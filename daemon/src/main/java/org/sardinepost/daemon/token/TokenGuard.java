package org.sardinepost.daemon.token;

import java.nio.ByteBuffer;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.LongSupplier;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.core.text.TokenMode;
import org.sardinepost.core.token.IdempotencyToken;
import org.sardinepost.core.token.RequestFingerprint;
import org.sardinepost.core.token.TokenDecision;
import org.sardinepost.core.token.TokenOutcome;
import org.sardinepost.core.token.TokenTable;
import org.sardinepost.daemon.call.BufferedRequest;
import org.sardinepost.daemon.call.BufferedResponse;
import org.sardinepost.daemon.call.Call;
import org.sardinepost.daemon.call.CallDispatch;
import org.sardinepost.daemon.call.RequestGuard;
import org.sardinepost.daemon.control.PeerDirectory;

/** Ensures that a non-idempotent request is executed at most once. */
public final class TokenGuard implements RequestGuard {
    /** Memory for the headers of a stored response; the HTTP client limits them to 16 KiB. */
    private static final long RESPONSE_HEADER_BYTES = 16L << 10;

    private final TokenTable table;
    private final LongSupplier nanoClock;
    private final TokenResponses tokenResponses;
    private final IssuerForwarder forwarder;

    public TokenGuard(TokenTable table, LongSupplier nanoClock, PeerDirectory directory) {
        this.table = table;
        this.nanoClock = nanoClock;
        this.tokenResponses = new TokenResponses(table, nanoClock);
        this.forwarder = new IssuerForwarder(directory);
    }

    @Override
    public CompletableFuture<BufferedResponse> handle(Call call, CallDispatch dispatch) {
        if (call.destination().service().tokens() == TokenMode.NONE) {
            return dispatch.sendToUpstream();
        }
        try {
            return withNewToken(call, send(call, dispatch));
        } catch (RefusedException refused) {
            return CompletableFuture.failedFuture(refused);
        }
    }

    /**
     * Adds a new token to the response if the request asks for one. Cancelling the result cancels the dispatch, unless
     * the request has a token, whose outcome must be recorded.
     */
    private CompletableFuture<BufferedResponse> withNewToken(
            Call call, CompletableFuture<BufferedResponse> dispatched) {
        if (!TokenHeaders.requestsToken(call.request().headers())) {
            return dispatched;
        }
        CompletableFuture<BufferedResponse> response =
                dispatched.thenApply(received -> tokenResponses.addToken(call, received));
        var unused = response.whenComplete((received, failure) -> dispatched.cancel(false));
        return response;
    }

    private CompletableFuture<BufferedResponse> send(Call call, CallDispatch dispatch) {
        if (call.idempotent()) {
            return dispatch.sendToUpstream();
        }
        Optional<IdempotencyToken> token = TokenHeaders.token(call.request().headers());
        if (token.isPresent()) {
            return withToken(token.get(), call, dispatch);
        }
        return call.destination().service().tokens() == TokenMode.OPTIONAL
                ? dispatch.sendToUpstream()
                : CompletableFuture.completedFuture(tokenResponses.tokenRequired());
    }

    private CompletableFuture<BufferedResponse> withToken(IdempotencyToken token, Call call, CallDispatch dispatch) {
        long responseCapacityBytes = call.destination().service().answerLimitBytes() + RESPONSE_HEADER_BYTES;
        TokenDecision decision =
                table.begin(token, fingerprint(call.request()), responseCapacityBytes, nanoClock.getAsLong());
        if (decision instanceof TokenDecision.Dispatch permitted) {
            return response(TokenDispatch.run(permitted.permit(), dispatch));
        }
        if (decision instanceof TokenDecision.Join join) {
            return response(join.outcome());
        }
        if (decision instanceof TokenDecision.Replay replay) {
            return CompletableFuture.completedFuture(StoredResponses.toBuffered(replay.response()));
        }
        return responsibleIncarnation(decision)
                .map(incarnation -> forwarder.forward(incarnation, call, dispatch))
                .orElseGet(() -> CompletableFuture.completedFuture(DecisionResponses.of(decision)));
    }

    private static RequestFingerprint fingerprint(BufferedRequest request) {
        ByteBuffer source = request.body();
        byte[] body = new byte[source.remaining()];
        source.get(body);
        return RequestFingerprint.of(request.method(), request.target(), body);
    }

    /** Returns the incarnation of the token if another daemon is responsible for it. */
    private static Optional<Long> responsibleIncarnation(TokenDecision decision) {
        if (decision instanceof TokenDecision.NotIssuer other) {
            return Optional.of(other.incarnation());
        }
        if (decision instanceof TokenDecision.HandedOver other) {
            return Optional.of(other.incarnation());
        }
        return decision instanceof TokenDecision.Frozen frozen ? Optional.of(frozen.incarnation()) : Optional.empty();
    }

    private static CompletableFuture<BufferedResponse> response(CompletableFuture<TokenOutcome> outcome) {
        return outcome.thenApply(TokenGuard::response);
    }

    private static BufferedResponse response(TokenOutcome outcome) {
        if (outcome instanceof TokenOutcome.Answered answered) {
            return StoredResponses.toBuffered(answered.response());
        }
        if (outcome instanceof TokenOutcome.NotRun notRun) {
            return TokenResponses.refusalWithToken(notRun.refusal(), notRun.renewed());
        }
        if (outcome instanceof TokenOutcome.Unknown unknown) {
            throw unknown.refusal();
        }
        throw new RefusedException(
                RefusalReason.UPSTREAM_FAILED, "fault in the daemon: unexpected token outcome " + outcome);
    }
}
