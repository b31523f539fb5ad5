package org.sardinepost.daemon.call;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Writes a buffered response to the caller. */
final class ResponseWriter {
    private ResponseWriter() {}

    static void write(BufferedResponse bufferedResponse, Request request, Response response, Callback callback) {
        response.reset();
        response.setStatus(bufferedResponse.status());
        for (HttpField field : bufferedResponse.headers()) {
            response.getHeaders().add(field);
        }
        response.write(true, bufferedResponse.body(), callback);
    }
}
