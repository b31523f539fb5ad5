package org.sardinepost.core.ini;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Caches the values of sections that are unchanged from one document to the next.
 *
 * <p>An update usually changes one of many services, and reading all values again took most of the time of an update.
 * Only the sections of the previous document are cached. Not thread-safe.
 */
public final class ValueCache {
    private Map<String, List<IniValue>> previousDocument = new HashMap<>();
    private Map<String, List<IniValue>> currentDocument = new HashMap<>();

    /** Discards the values that the previous document did not use. */
    void startDocument() {
        previousDocument = currentDocument;
        currentDocument = new HashMap<>();
    }

    /** Returns the cached values of a section with the same lines, or else reads them. */
    List<IniValue> values(String lines, Function<String, List<IniValue>> reader) {
        List<IniValue> cached = previousDocument.get(lines);
        return currentDocument.computeIfAbsent(lines, key -> cached != null ? cached : reader.apply(key));
    }
}
