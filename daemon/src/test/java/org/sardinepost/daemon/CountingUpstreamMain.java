package org.sardinepost.daemon;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.eclipse.jetty.io.Content;

/** An upstream process that counts executions per request body; {@code GET /BODY} returns the count. */
final class CountingUpstreamMain {
    private CountingUpstreamMain() {}

    public static void main(String[] arguments) throws Exception {
        Map<String, Integer> executions = new ConcurrentHashMap<>();
        TestUpstream upstream = new TestUpstream(
                (request, body, response, callback) -> {
                    String responseBody = request.getMethod().equals("GET")
                            ? String.valueOf(executions.get(
                                    request.getHttpURI().getPath().substring(1)))
                            : body + " execution " + executions.merge(body, 1, Integer::sum);
                    if (!body.startsWith("slow")) {
                        Content.Sink.write(response, true, responseBody, callback);
                    }
                },
                Integer.parseInt(arguments[0]));
        Thread.currentThread().join();
        upstream.close();
    }
}
