package org.sardinepost.core.ini;

import java.util.Objects;

/**
 * One fault in a file, with the way to mend it.
 *
 * @param file name of the file as the operator gave it
 * @param line line number, starting at 1
 * @param key section and key, for example {@code [service booking] deadline}
 * @param message what is wrong
 * @param remedy what to change
 */
public record Finding(String file, int line, String key, String message, String remedy) {
    public Finding {
        Objects.requireNonNull(file);
        Objects.requireNonNull(key);
        Objects.requireNonNull(message);
        Objects.requireNonNull(remedy);
    }

    @Override
    public String toString() {
        return file + ":" + line + ": " + key + ": " + message + "; " + remedy;
    }
}
