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

/** Tells from the lines of all logs what became of one request, in the order of time and with the cause last. */
final class RequestStory {
    private static final String CALL_ENDED = "SP-300";

    /** What a daemon noticed shortly before the end of a call often explains it. */
    private static final Duration CONTEXT = Duration.ofSeconds(2);

    private final List<LogLine> lines;

    RequestStory(List<LogLine> lines) {
        this.lines = lines.stream().sorted(Comparator.comparing(LogLine::at)).toList();
    }

    /** The story; empty if no line names the request. */
    List<String> of(String id) {
        List<String> story = new ArrayList<>();
        Optional<LogLine> last = Optional.empty();
        for (LogLine line : lines) {
            if (line.event().equals(CALL_ENDED) && line.text("id").equals(id)) {
                describe(line, story);
                last = Optional.of(line);
            }
        }
        last.ifPresent(end -> story.add("cause: " + cause(end)));
        return story;
    }

    private void describe(LogLine end, List<String> story) {
        Duration took = Duration.ofMillis(end.fields().get("took-ms").getAsLong());
        story.add(end.at().minus(took) + " " + end.source() + ": arrived, route " + named(end.text("route"))
                + " of service " + named(end.text("service")));
        lines.stream()
                .filter(line -> line.source().equals(end.source()))
                .filter(line -> !line.event().equals(CALL_ENDED))
                .filter(line -> line.at().isBefore(end.at()))
                .filter(line -> line.at().isAfter(end.at().minus(took).minus(CONTEXT)))
                .forEach(line -> story.add("  " + line.at() + " " + line.event() + " " + line.text("message")));
        for (JsonElement attempt : end.fields().getAsJsonArray("attempts")) {
            story.add("  " + attempt(attempt.getAsJsonObject()));
        }
        story.add("  after " + took.toMillis() + " ms: status " + end.text("status") + ", " + end.text("outcome"));
    }

    private static String attempt(JsonObject attempt) {
        String load = attempt.has("load") ? ", load " + attempt.get("load").getAsString() : "";
        return "after " + attempt.get("placed-ms").getAsLong() + " ms: sent to "
                + attempt.get("upstream").getAsString() + ", "
                + attempt.get("result").getAsString() + " after "
                + attempt.get("took-ms").getAsLong() + " ms" + load;
    }

    private static String named(String name) {
        return name.isEmpty() ? "(none)" : name;
    }

    /** The outcome ends with the label of the reason, if there is one. */
    private static String cause(LogLine end) {
        String outcome = end.text("outcome");
        Optional<RefusalReason> reason = Arrays.stream(RefusalReason.values())
                .filter(known -> outcome.endsWith(" " + known.label()))
                .findFirst();
        if (reason.isEmpty()) {
            return outcome;
        }
        boolean leftEarly = outcome.startsWith("unknown")
                && end.fields().getAsJsonArray("attempts").isEmpty();
        String hint = leftEarly ? " (no attempt has a result: the caller left while an upstream worked)" : "";
        return reason.get().label() + hint + "; remedy: " + reason.get().remedy();
    }
}
