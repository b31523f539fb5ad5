package org.sardinepost.ctl;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.sardinepost.core.call.RefusalReason;

/** Describes in chronological order how daemons handled a request, followed by the cause of its outcome. */
final class RequestTimeline {
    private static final String CALL_ENDED_EVENT = "SP-300";

    /**
     * The time before a call in which other events of its daemon are included, because they often explain the outcome.
     */
    private static final Duration EVENTS_BEFORE_CALL = Duration.ofSeconds(2);

    private final List<LogLine> lines;

    RequestTimeline(List<LogLine> lines) {
        this.lines =
                lines.stream().sorted(Comparator.comparing(LogLine::timestamp)).toList();
    }

    /** Returns the lines of the description; empty if no log line refers to the request. */
    List<String> describe(String id) {
        List<String> description = new ArrayList<>();
        Optional<LogLine> last = Optional.empty();
        for (LogLine line : lines) {
            if (line.event().equals(CALL_ENDED_EVENT) && line.field("id").equals(id)) {
                addCall(line, description);
                last = Optional.of(line);
            }
        }
        last.ifPresent(end -> description.add("cause: " + formatCause(end)));
        return description;
    }

    private void addCall(LogLine end, List<String> description) {
        Duration took = Duration.ofMillis(end.fields().get("took-ms").getAsLong());
        description.add(end.timestamp().minus(took) + " " + end.source() + ": arrived, route "
                + nameOrNone(end.field("route")) + " of service " + nameOrNone(end.field("service")));
        lines.stream()
                .filter(line -> line.source().equals(end.source()))
                .filter(line -> !line.event().equals(CALL_ENDED_EVENT))
                .filter(line -> line.timestamp().isBefore(end.timestamp()))
                .filter(line ->
                        line.timestamp().isAfter(end.timestamp().minus(took).minus(EVENTS_BEFORE_CALL)))
                .forEach(line ->
                        description.add("  " + line.timestamp() + " " + line.event() + " " + line.field("message")));
        for (JsonElement attempt : end.fields().getAsJsonArray("attempts")) {
            description.add("  " + formatAttempt(attempt.getAsJsonObject()));
        }
        description.add(
                "  after " + took.toMillis() + " ms: status " + end.field("status") + ", " + end.field("outcome"));
    }

    private static String formatAttempt(JsonObject attempt) {
        String load = attempt.has("load") ? ", load " + attempt.get("load").getAsString() : "";
        return "after " + attempt.get("placed-ms").getAsLong() + " ms: sent to "
                + attempt.get("upstream").getAsString() + ", "
                + attempt.get("result").getAsString() + " after "
                + attempt.get("took-ms").getAsLong() + " ms" + load;
    }

    private static String nameOrNone(String name) {
        return name.isEmpty() ? "(none)" : name;
    }

    /** Extracts the refusal reason, whose label is the last word of the outcome if there is one. */
    private static String formatCause(LogLine end) {
        String outcome = end.field("outcome");
        Optional<RefusalReason> reason = Arrays.stream(RefusalReason.values())
                .filter(candidate -> outcome.endsWith(" " + candidate.label()))
                .findFirst();
        if (reason.isEmpty()) {
            return outcome;
        }
        boolean callerDisconnected = outcome.startsWith("unknown")
                && end.fields().getAsJsonArray("attempts").isEmpty();
        String hint = callerDisconnected
                ? " (no attempt has a result: the caller disconnected while an upstream was processing the request)"
                : "";
        String detail = end.field("detail").isEmpty() ? "" : " (" + end.field("detail") + ")";
        return reason.get().label() + hint + detail + "; remedy: "
                + reason.get().remedy();
    }
}
