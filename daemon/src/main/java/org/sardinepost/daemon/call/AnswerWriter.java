package org.sardinepost.daemon.call;

import org.eclipse.jetty.http.HttpField;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Passes a held answer on to the caller. */
final class AnswerWriter {
    private AnswerWriter() {}

    static void write(HeldAnswer answer, Request request, Response response, Callback callback) {
        response.reset();
        response.setStatus(answer.status());
        for (HttpField field : answer.headers()) {
            response.getHeaders().add(field);
        }
        response.write(true, answer.body(), callback);
    }
}
