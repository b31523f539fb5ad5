package org.sardinepost.core.ini;

/** Decides whether the text of a value is valid, and reads it. */
public interface ValueType<T> {
    Parsed<T> parse(String text);

    /** The allowed values in words; used in remedies and in docs/operators.md. */
    String allowed();

    /** The result for a text that is no such value. */
    default Parsed<T> refuse(String text) {
        return Parsed.bad(Excerpt.of(text) + " is not allowed here", "write " + allowed());
    }
}
