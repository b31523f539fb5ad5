package org.sardinepost.daemon.call;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.sardinepost.core.call.CallContext;
import org.sardinepost.core.call.Outcome;

/** Builds the headers of forwarded requests and responses. */
final class ForwardedHeaders {
    private static final String VIA = "1.1 sardinepost";

    /** Headers that only daemons and upstreams may set; they are removed because any other sender could forge them. */
    private static final List<String> SIGNAL_HEADERS = List.of(
            CallHeaders.OUTCOME, CallHeaders.REASON, CallHeaders.LOAD, CallHeaders.DRAINING, CallHeaders.NOT_RUN);

    private static final List<String> REMOVED_FROM_REQUESTS = List.of(
            CallHeaders.FORWARDED,
            CallHeaders.TOKEN_REQUEST,
            CallHeaders.CONTEXT,
            CallHeaders.DEADLINE_MS,
            CallHeaders.INSTANCE);

    private static final List<String> REMOVED_FROM_RESPONSES = List.of(
            CallHeaders.FORWARDED,
            CallHeaders.TOKEN,
            CallHeaders.TOKEN_REQUEST,
            CallHeaders.CONTEXT,
            CallHeaders.DEADLINE_MS);

    private ForwardedHeaders() {}

    static HttpFields toUpstream(
            HttpFields headers, CallContext nestedContext, Optional<String> instance, long nanosLeft) {
        HttpFields.Mutable fields = forwardable(headers);
        REMOVED_FROM_REQUESTS.forEach(fields::remove);
        instance.ifPresent(name -> fields.put(CallHeaders.INSTANCE, name));
        return fields.put(CallHeaders.CONTEXT, nestedContext.headerValue())
                .put(CallHeaders.DEADLINE_MS, millisLeft(nanosLeft))
                .asImmutable();
    }

    /**
     * Returns the headers for another daemon. The context is forwarded unchanged, since the other daemon checks it and
     * increments the depth itself.
     */
    static HttpFields toDaemon(HttpFields headers, String ownAddress, long nanosLeft) {
        return forwardable(headers)
                .put(CallHeaders.FORWARDED, ownAddress)
                .put(CallHeaders.DEADLINE_MS, millisLeft(nanosLeft))
                .asImmutable();
    }

    /**
     * Returns the headers to pass on. Content-Length is set by the HTTP client, and this daemon has already handled
     * Expect.
     */
    private static HttpFields.Mutable forwardable(HttpFields headers) {
        HttpFields.Mutable fields = HttpFields.build(headers);
        fields.remove(HttpHeader.CONTENT_LENGTH);
        fields.remove(HttpHeader.EXPECT);
        SIGNAL_HEADERS.forEach(fields::remove);
        return fields.add(HttpHeader.VIA, VIA);
    }

    private static String millisLeft(long nanosLeft) {
        return Long.toString(Math.max(1, TimeUnit.NANOSECONDS.toMillis(nanosLeft)));
    }

    static BufferedResponse fromUpstream(BufferedResponse response) {
        HttpFields.Mutable fields = HttpFields.build(response.headers());
        SIGNAL_HEADERS.forEach(fields::remove);
        REMOVED_FROM_RESPONSES.forEach(fields::remove);
        fields.add(HttpHeader.VIA, VIA).put(CallHeaders.OUTCOME, Outcome.ANSWERED.label());
        return response.withHeaders(fields);
    }
}
