package org.sardinepost.standins.upstream;

import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpFields;
import org.sardinepost.core.routing.UpstreamId;

/** Calls another service through a daemon, like an upstream that depends on other services. */
public final class NestedCaller {
    private static final String[] PROPAGATED_HEADERS = {"Sardinepost-Context", "Sardinepost-Deadline-Ms", "Request-Id"};

    private final HttpClient client;
    private final UpstreamId daemon;
    private final String service;

    public NestedCaller(HttpClient client, UpstreamId daemon, String service) {
        this.client = client;
        this.daemon = daemon;
        this.service = service;
    }

    /** Sends the nested call and returns its status. */
    public CompletableFuture<Integer> call(HttpFields incomingHeaders) {
        Request request =
                client.newRequest("http://" + daemon + "/nested").headers(headers -> headers.put("Host", service));
        for (String name : PROPAGATED_HEADERS) {
            String value = incomingHeaders.get(name);
            if (value != null) {
                request.headers(headers -> headers.put(name, value));
            }
        }
        return new CompletableResponseListener(request).send().thenApply(ContentResponse::getStatus);
    }
}
