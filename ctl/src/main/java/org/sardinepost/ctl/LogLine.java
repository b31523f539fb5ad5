package org.sardinepost.ctl;

import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.Optional;

/**
 * One line of a daemon's log.
 *
 * @param source the last word before the JSON object, such as the name of a VM, or the file name if there is none
 * @param timestamp the time at which the line was written
 * @param event the event number, such as SP-300; empty for lines that libraries wrote
 * @param fields the JSON object
 */
record LogLine(String source, Instant timestamp, String event, JsonObject fields) {
    /** Parses a line; returns empty if it is not a line of a daemon's log. */
    static Optional<LogLine> parse(String fileName, String line) {
        int jsonStart = line.indexOf('{');
        if (jsonStart < 0) {
            return Optional.empty();
        }
        String prefix = line.substring(0, jsonStart).trim();
        String source = prefix.isEmpty() ? fileName : prefix.substring(prefix.lastIndexOf(' ') + 1);
        try {
            JsonObject fields =
                    JsonParser.parseString(line.substring(jsonStart)).getAsJsonObject();
            Instant timestamp = Instant.parse(fields.get("at").getAsString());
            return Optional.of(new LogLine(source, timestamp, field(fields, "event"), fields));
        } catch (JsonParseException | IllegalStateException | NullPointerException | DateTimeParseException e) {
            return Optional.empty();
        }
    }

    String field(String name) {
        return field(fields, name);
    }

    private static String field(JsonObject fields, String name) {
        return fields.has(name) ? fields.get(name).getAsString() : "";
    }
}
