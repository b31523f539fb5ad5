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
import org.sardinepost.daemon.call.Call;
import org.sardinepost.daemon.call.CallDispatch;
import org.sardinepost.daemon.call.HeldAnswer;
import org.sardinepost.daemon.call.HeldRequest;
import org.sardinepost.daemon.call.RequestGuard;
import org.sardinepost.daemon.control.PeerDirectory;

/** Lets a non-idempotent request run at most once. */
public final class TokenGuard implements RequestGuard {
    /** Room for the headers of a stored answer; the client's limit for them is 16 KiB. */
    private static final long ANSWER_HEADER_BYTES = 16L << 10;

    private final TokenTable table;
    private final LongSupplier nanoClock;
    private final FreshTokens freshTokens;
    private final IssuerForwarder forwarder;

    public TokenGuard(TokenTable table, LongSupplier nanoClock, PeerDirectory directory) {
        this.table = table;
        this.nanoClock = nanoClock;
        this.freshTokens = new FreshTokens(table, nanoClock);
        this.forwarder = new IssuerForwarder(directory);
    }

    @Override
    public CompletableFuture<HeldAnswer> handle(Call call, CallDispatch dispatch) {
        try {
            return withFreshToken(call, send(call, dispatch));
        } catch (RefusedException refused) {
            return CompletableFuture.failedFuture(refused);
        }
    }

    /** Cancelling the result cancels the send, except that of a request with a token, whose outcome is recorded. */
    private CompletableFuture<HeldAnswer> withFreshToken(Call call, CompletableFuture<HeldAnswer> sent) {
        if (!TokenHeaders.asksForToken(call.request().headers())) {
            return sent;
        }
        CompletableFuture<HeldAnswer> answer = sent.thenApply(held -> freshTokens.addTo(call, held));
        var unused = answer.whenComplete((held, failure) -> sent.cancel(false));
        return answer;
    }

    private CompletableFuture<HeldAnswer> send(Call call, CallDispatch dispatch) {
        if (call.idempotent()) {
            return dispatch.toUpstream();
        }
        Optional<IdempotencyToken> token = TokenHeaders.token(call.request().headers());
        if (token.isPresent()) {
            return withToken(token.get(), call, dispatch);
        }
        return call.target().service().tokens() == TokenMode.OPTIONAL
                ? dispatch.toUpstream()
                : CompletableFuture.completedFuture(freshTokens.tokenRequired());
    }

    private CompletableFuture<HeldAnswer> withToken(IdempotencyToken token, Call call, CallDispatch dispatch) {
        long roomBytes = call.target().service().answerLimitBytes() + ANSWER_HEADER_BYTES;
        TokenDecision decision = table.begin(token, fingerprint(call.request()), roomBytes, nanoClock.getAsLong());
        if (decision instanceof TokenDecision.Dispatch permitted) {
            return answer(TokenDispatch.run(permitted.permit(), dispatch));
        }
        if (decision instanceof TokenDecision.Join join) {
            return answer(join.outcome());
        }
        if (decision instanceof TokenDecision.Replay replay) {
            return CompletableFuture.completedFuture(StoredAnswers.held(replay.answer()));
        }
        return holder(decision)
                .map(incarnation -> forwarder.forward(incarnation, call, dispatch))
                .orElseGet(() -> CompletableFuture.completedFuture(DecisionAnswers.of(decision)));
    }

    private static RequestFingerprint fingerprint(HeldRequest request) {
        ByteBuffer source = request.body();
        byte[] body = new byte[source.remaining()];
        source.get(body);
        return RequestFingerprint.of(request.method(), request.target(), body);
    }

    /** The incarnation whose tokens another daemon answers for. */
    private static Optional<Long> holder(TokenDecision decision) {
        if (decision instanceof TokenDecision.NotIssuer other) {
            return Optional.of(other.incarnation());
        }
        if (decision instanceof TokenDecision.HandedOver other) {
            return Optional.of(other.incarnation());
        }
        return decision instanceof TokenDecision.Frozen frozen ? Optional.of(frozen.incarnation()) : Optional.empty();
    }

    private static CompletableFuture<HeldAnswer> answer(CompletableFuture<TokenOutcome> outcome) {
        return outcome.thenApply(TokenGuard::answer);
    }

    private static HeldAnswer answer(TokenOutcome outcome) {
        if (outcome instanceof TokenOutcome.Answered answered) {
            return StoredAnswers.held(answered.answer());
        }
        if (outcome instanceof TokenOutcome.NotRun notRun) {
            return FreshTokens.refused(notRun.refusal(), notRun.renewed());
        }
        if (outcome instanceof TokenOutcome.Unknown unknown) {
            throw unknown.refusal();
        }
        throw new RefusedException(RefusalReason.UPSTREAM_FAILED, "fault in the daemon: outcome " + outcome);
    }
}
