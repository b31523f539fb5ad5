package org.sardinepost.standins.load;

import java.util.Optional;
import org.eclipse.jetty.client.ContentResponse;

/** The parts of a response that the load generators evaluate. */
public record ResponseSummary(int status, String outcome, Optional<String> token, String body) {
    private static final String END_MARKER = "end\n";

    public static ResponseSummary of(ContentResponse response) {
        return new ResponseSummary(
                response.getStatus(),
                Optional.ofNullable(response.getHeaders().get("Sardinepost-Outcome"))
                        .orElse("none"),
                Optional.ofNullable(response.getHeaders().get("Idempotency-Token")),
                response.getContentAsString());
    }

    public boolean isSuccess() {
        return status == 200;
    }

    public boolean isNotRun() {
        return outcome.equals("not-run");
    }

    /** Returns whether this is the complete response to the request with the given id. */
    public boolean isCompleteResponseTo(String requestId) {
        return body.startsWith(requestId + "\n") && body.endsWith(END_MARKER);
    }

    public String description() {
        return status + " " + outcome;
    }
}
