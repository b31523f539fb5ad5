package org.sardinepost.daemon;

import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.http2.client.HTTP2Client;
import org.eclipse.jetty.http2.client.transport.HttpClientTransportOverHTTP2;

/** Creates clients that send plaintext HTTP/2 without an upgrade from HTTP/1.1. */
final class Http2Client {
    private Http2Client() {}

    static HttpClient start() throws Exception {
        HttpClient client = new HttpClient(new HttpClientTransportOverHTTP2(new HTTP2Client()));
        client.start();
        return client;
    }
}
