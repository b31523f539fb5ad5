package org.sardinepost.daemon.call;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import org.sardinepost.core.call.Outcome;
import org.sardinepost.core.call.RefusalReason;

/** The outcome of a call and the reason of a refusal, as stated in the headers of the response. */
record CallOutcome(Outcome outcome, Optional<RefusalReason> reason) {
    private static final Map<String, Outcome> OUTCOMES_BY_LABEL =
            Arrays.stream(Outcome.values()).collect(Collectors.toMap(Outcome::label, Function.identity()));
    private static final Map<String, RefusalReason> REASONS_BY_LABEL =
            Arrays.stream(RefusalReason.values()).collect(Collectors.toMap(RefusalReason::label, Function.identity()));

    /** Returns the label of the outcome, followed by the label of the reason if there is one. */
    String label() {
        return reason.map(refusalReason -> outcome.label() + " " + refusalReason.label())
                .orElse(outcome.label());
    }

    static CallOutcome of(BufferedResponse response) {
        Outcome outcome = Optional.ofNullable(response.headers().get(CallHeaders.OUTCOME))
                .map(OUTCOMES_BY_LABEL::get)
                .orElse(Outcome.UNKNOWN);
        return new CallOutcome(
                outcome,
                Optional.ofNullable(response.headers().get(CallHeaders.REASON)).map(REASONS_BY_LABEL::get));
    }
}
