package org.sardinepost.core.ini;

import java.util.Objects;

/**
 * An error in a file and how to correct it.
 *
 * @param file file name as given by the operator
 * @param line 1-based line number
 * @param key section and key, for example {@code [service booking] deadline}
 * @param message description of the error
 * @param remedy instruction for correcting it
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
