package org.sardinepost.ctl;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;

/**
 * One line of the log of a daemon.
 *
 * @param source where it comes from: its file, and what stood before the object, such as the name of the VM
 * @param at when it was written
 * @param event the number of the event; empty for lines of libraries
 * @param fields the whole object
 */
record LogLine(String source, Instant at, String event, JsonObject fields) {
    /** Reads a line; empty if it is no line of a daemon's log. */
    static Optional<LogLine> parse(String file, String line) {
        int start = line.indexOf('{');
        if (start < 0) {
            return Optional.empty();
        }
        String prefix = line.substring(0, start).trim();
        String source = prefix.isEmpty() ? file : prefix.substring(prefix.lastIndexOf(' ') + 1);
        try {
            JsonObject fields = JsonParser.parseString(line.substring(start)).getAsJsonObject();
            Instant at = Instant.parse(fields.get("at").getAsString());
            return Optional.of(new LogLine(source, at, text(fields, "event"), fields));
        } catch (JsonParseException | IllegalStateException | NullPointerException | DateTimeParseException e) {
            return Optional.empty();
        }
    }

    String text(String field) {
        return text(fields, field);
    }

    private static String text(JsonObject fields, String field) {
        return fields.has(field) ? fields.get(field).getAsString() : "";
    }
}
