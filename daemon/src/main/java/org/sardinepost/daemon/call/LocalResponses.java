package org.sardinepost.daemon.call;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Locale;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.sardinepost.core.call.RefusedException;

/** Builds the responses that the daemon generates itself. */
public final class LocalResponses {
    private LocalResponses() {}

    /** Returns a response with outcome and reason headers and a text body that states the reason and the remedy. */
    public static BufferedResponse of(RefusedException refusal) {
        String body = refusal.reason().label() + ": " + refusal.getMessage() + "\n";
        HttpFields.Mutable headers = HttpFields.build()
                .put(HttpHeader.CONTENT_TYPE, "text/plain;charset=utf-8")
                .put(CallHeaders.OUTCOME, refusal.outcome().label())
                .put(CallHeaders.REASON, refusal.reason().label());
        refusal.retryAfter().ifPresent(delay -> headers.put(HttpHeader.RETRY_AFTER, formatSeconds(delay)));
        return new BufferedResponse(
                refusal.reason().status(), headers, ByteBuffer.wrap(body.getBytes(StandardCharsets.UTF_8)));
    }

    /** Formats with millisecond precision, since most delays are far below the one-second resolution of the standard. */
    private static String formatSeconds(Duration delay) {
        return String.format(Locale.ROOT, "%.3f", delay.toMillis() / 1e3);
    }
}
