package org.sardinepost.standins.load;

import java.util.Optional;
import org.eclipse.jetty.client.ContentResponse;

/** What a caller sees of an answer. */
public record Answer(int status, String outcome, Optional<String> token, String body) {
    private static final String END = "end\n";

    public static Answer of(ContentResponse response) {
        return new Answer(
                response.getStatus(),
                Optional.ofNullable(response.getHeaders().get("Sardinepost-Outcome"))
                        .orElse("none"),
                Optional.ofNullable(response.getHeaders().get("Idempotency-Token")),
                response.getContentAsString());
    }

    public boolean success() {
        return status == 200;
    }

    public boolean notRun() {
        return outcome.equals("not-run");
    }

    /** Whether this is the whole answer to the request with the id. */
    public boolean wholeAnswerTo(String requestId) {
        return body.startsWith(requestId + "\n") && body.endsWith(END);
    }

    public String description() {
        return status + " " + outcome;
    }
}
