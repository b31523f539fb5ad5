package org.sardinepost.standins.upstream;

import java.util.concurrent.CompletableFuture;
import org.eclipse.jetty.client.CompletableResponseListener;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Request;
import org.eclipse.jetty.http.HttpFields;
import org.sardinepost.core.routing.UpstreamId;

/** Calls another service through a daemon, as an upstream with dependencies does. */
public final class NestedCaller {
    private static final String[] COPIED_HEADERS = {"Sardinepost-Context", "Sardinepost-Deadline-Ms", "Request-Id"};

    private final HttpClient client;
    private final UpstreamId daemon;
    private final String service;

    public NestedCaller(HttpClient client, UpstreamId daemon, String service) {
        this.client = client;
        this.daemon = daemon;
        this.service = service;
    }

    /** The status of the nested call. */
    public CompletableFuture<Integer> call(HttpFields incoming) {
        Request request =
                client.newRequest("http://" + daemon + "/nested").headers(headers -> headers.put("Host", service));
        for (String name : COPIED_HEADERS) {
            String value = incoming.get(name);
            if (value != null) {
                request.headers(headers -> headers.put(name, value));
            }
        }
        return new CompletableResponseListener(request).send().thenApply(ContentResponse::getStatus);
    }
}
