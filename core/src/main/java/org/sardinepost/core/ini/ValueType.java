package org.sardinepost.core.ini;

/** Validates and parses the text of a value. */
public interface ValueType<T> {
    Parsed<T> parse(String text);

    /** Describes the allowed values, for remedies and docs/operators.md. */
    String allowed();

    /** Returns the result for a text that is not a valid value of this type. */
    default Parsed<T> reject(String text) {
        return Parsed.failure(Excerpt.of(text) + " is not allowed here", "write " + allowed());
    }
}
