package org.sardinepost.daemon.log;

/** Writes one flat or nested JSON object as one line. */
public final class JsonLine {
    private static final int INITIAL_CHARACTERS = 256;
    private static final int FIRST_PRINTABLE = 0x20;

    private final StringBuilder text = new StringBuilder(INITIAL_CHARACTERS).append('{');
    private boolean first = true;

    public JsonLine add(String name, String value) {
        name(name);
        quoted(value);
        return this;
    }

    public JsonLine add(String name, long value) {
        name(name);
        text.append(value);
        return this;
    }

    /** Adds a value that is JSON already. */
    public JsonLine addJson(String name, String json) {
        name(name);
        text.append(json);
        return this;
    }

    /** Adds the members of an object that is JSON already. */
    public JsonLine addMembers(String json) {
        String members = json.substring(1, json.length() - 1);
        if (!members.isEmpty()) {
            text.append(first ? "" : ",").append(members);
            first = false;
        }
        return this;
    }

    @Override
    public String toString() {
        return text + "}";
    }

    private void name(String name) {
        if (!first) {
            text.append(',');
        }
        first = false;
        quoted(name);
        text.append(':');
    }

    private void quoted(String value) {
        text.append('"');
        for (int i = 0; i < value.length(); i++) {
            character(value.charAt(i));
        }
        text.append('"');
    }

    private void character(char character) {
        if (character == '"' || character == '\\') {
            text.append('\\').append(character);
        } else if (character < FIRST_PRINTABLE) {
            text.append(String.format("\\u%04x", (int) character));
        } else {
            text.append(character);
        }
    }
}
