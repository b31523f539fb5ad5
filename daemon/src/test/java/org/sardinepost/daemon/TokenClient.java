package org.sardinepost.daemon;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;
import org.eclipse.jetty.http.HttpFields;
import org.eclipse.jetty.http.HttpHeader;
import org.sardinepost.daemon.call.CallHeaders;

/** A caller that obtains idempotency tokens and sends requests with them. */
final class TokenClient implements AutoCloseable {
    private static final int CALL_TIMEOUT_S = 60;

    private final HttpClient client = new HttpClient();

    TokenClient() throws Exception {
        client.start();
    }

    /** The parts of a response that matter to a caller with tokens. */
    record Reply(int status, String outcome, Optional<String> token, String body) {}

    Reply postOrder(int port, String token, String body) throws Exception {
        return post(port, body, headers -> headers.put(CallHeaders.TOKEN, token));
    }

    Reply post(int port, String body, Consumer<HttpFields.Mutable> headers) throws Exception {
        ContentResponse response = client.newRequest("127.0.0.1", port)
                .method("POST")
                .path("/orders")
                .headers(fields -> {
                    fields.put(HttpHeader.HOST, "booking");
                    headers.accept(fields);
                })
                .body(new StringRequestContent(body))
                .timeout(CALL_TIMEOUT_S, TimeUnit.SECONDS)
                .send();
        return new Reply(
                response.getStatus(),
                String.valueOf(response.getHeaders().get(CallHeaders.OUTCOME)),
                Optional.ofNullable(response.getHeaders().get(CallHeaders.TOKEN)),
                response.getContentAsString());
    }

    String get(int port, String path) throws Exception {
        return client.newRequest("127.0.0.1", port)
                .path(path)
                .timeout(CALL_TIMEOUT_S, TimeUnit.SECONDS)
                .send()
                .getContentAsString();
    }

    /** Obtains a token from the daemon, which issues one in its response to a request without a token. */
    String fetchToken(int port) throws Exception {
        return post(port, "", headers -> {}).token().orElseThrow();
    }

    @Override
    public void close() throws Exception {
        client.stop();
    }
}
