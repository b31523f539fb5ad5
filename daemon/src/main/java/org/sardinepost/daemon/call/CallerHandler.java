package org.sardinepost.daemon.call;

import java.nio.ByteBuffer;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.LongSupplier;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;
import org.sardinepost.core.call.RefusalReason;
import org.sardinepost.core.call.RefusedException;
import org.sardinepost.core.routing.Dispatch;
import org.sardinepost.core.routing.DispatchRequest;
import org.sardinepost.core.routing.DispatchResult;

/** Takes the calls on the caller address. */
public final class CallerHandler extends Handler.Abstract.NonBlocking {
    private final ServiceRegistry registry;
    private final UpstreamClient client;
    private final long requestLimitBytes;
    private final LongSupplier nanoClock;

    public CallerHandler(
            ServiceRegistry registry, UpstreamClient client, long requestLimitBytes, LongSupplier nanoClock) {
        this.registry = registry;
        this.client = client;
        this.requestLimitBytes = requestLimitBytes;
        this.nanoClock = nanoClock;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        long arrivalNanos = nanoClock.getAsLong();
        var unused = CompletableFuture.completedFuture(request)
                .thenApply(this::service)
                .thenCompose(service -> RequestBodyReader.read(request, requestLimitBytes)
                        .thenCompose(body -> dispatch(service, held(request, body), arrivalNanos)))
                .exceptionally(CallerHandler::ownAnswer)
                .thenAccept(answer -> AnswerWriter.write(answer, request, response, callback));
        return true;
    }

    private RegisteredService service(Request request) {
        String host = Request.getServerName(request);
        return registry.forHost(host)
                .orElseThrow(() -> new RefusedException(RefusalReason.UNKNOWN_SERVICE, "no service has host " + host));
    }

    private static HeldRequest held(Request request, ByteBuffer body) {
        HttpFields headers = EndToEndHeaders.of(request.getHeaders());
        boolean hasBody = headers.contains(HttpHeader.CONTENT_LENGTH) || body.hasRemaining();
        return new HeldRequest(request.getMethod(), request.getHttpURI().getPathQuery(), headers, body, hasBody);
    }

    private CompletableFuture<HeldAnswer> dispatch(RegisteredService service, HeldRequest request, long arrivalNanos) {
        long deadline = arrivalNanos + service.service().deadline().toNanos();
        DispatchRequest wanted = new DispatchRequest(deadline, 0, request.body().remaining(), Set.of());
        return service.dispatcher().acquire(wanted, nanoClock.getAsLong()).thenCompose(place -> client.send(
                        place.upstream(), request, service.service().answerLimitBytes())
                .whenComplete((answer, failure) -> finish(place, failure)));
    }

    private void finish(Dispatch place, Throwable failure) {
        DispatchResult.Kind kind = failure == null ? DispatchResult.Kind.ANSWERED : DispatchResult.Kind.FAILED;
        place.finished(DispatchResult.of(kind), nanoClock.getAsLong());
    }

    private static HeldAnswer ownAnswer(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        if (cause instanceof RefusedException refused) {
            return OwnAnswers.of(refused);
        }
        return OwnAnswers.of(new RefusedException(RefusalReason.UPSTREAM_FAILED, String.valueOf(cause.getMessage())));
    }
}
