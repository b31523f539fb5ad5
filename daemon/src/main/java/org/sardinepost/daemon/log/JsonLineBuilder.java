package org.sardinepost.daemon.log;

/** Builds a JSON object without line breaks. */
public final class JsonLineBuilder {
    private static final int INITIAL_CHARACTERS = 256;
    private static final int FIRST_UNESCAPED = 0x20;

    private final StringBuilder json = new StringBuilder(INITIAL_CHARACTERS).append('{');
    private boolean first = true;

    public JsonLineBuilder add(String name, String value) {
        appendName(name);
        appendString(value);
        return this;
    }

    public JsonLineBuilder add(String name, long value) {
        appendName(name);
        json.append(value);
        return this;
    }

    /** Adds a member whose value is already JSON. */
    public JsonLineBuilder addJson(String name, String value) {
        appendName(name);
        json.append(value);
        return this;
    }

    /** Adds the members of a JSON object. */
    public JsonLineBuilder addMembers(String object) {
        String members = object.substring(1, object.length() - 1);
        if (!members.isEmpty()) {
            json.append(first ? "" : ",").append(members);
            first = false;
        }
        return this;
    }

    @Override
    public String toString() {
        return json + "}";
    }

    private void appendName(String name) {
        if (!first) {
            json.append(',');
        }
        first = false;
        appendString(name);
        json.append(':');
    }

    private void appendString(String value) {
        json.append('"');
        for (int i = 0; i < value.length(); i++) {
            appendEscaped(value.charAt(i));
        }
        json.append('"');
    }

    private void appendEscaped(char character) {
        if (character == '"' || character == '\\') {
            json.append('\\').append(character);
        } else if (character < FIRST_UNESCAPED) {
            json.append(String.format("\\u%04x", (int) character));
        } else {
            json.append(character);
        }
    }
}
