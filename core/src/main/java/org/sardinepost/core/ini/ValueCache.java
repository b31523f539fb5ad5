package org.sardinepost.core.ini;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;

/**
 * Caches the values of sections that are unchanged from one document to the next.
 *
 * <p>An update usually changes one of many services, and reading all values again took most of the time of an update.
 * Only the sections of the previous document are cached. Not thread-safe.
 */
public final class ValueCache {
    private Map<String, List<IniValue>> previousDocument = new HashMap<>();
    private Map<String, List<IniValue>> currentDocument = new HashMap<>();
    private Map<String, IniValue> entries = new HashMap<>();
    private boolean previousDocumentValid;
    private boolean currentDocumentValid;

    /** Discards the values that the previous document did not use. */
    void startDocument() {
        previousDocument = currentDocument;
        currentDocument = new HashMap<>();
        entries = new HashMap<>();
        previousDocumentValid = currentDocumentValid;
        currentDocumentValid = false;
    }

    /** Returns the value of an entry. Equal entries of a document have one value, since most sections differ in few. */
    IniValue value(String key, String text) {
        return entries.computeIfAbsent(key + '=' + text, entry -> new IniValue(text));
    }

    /** Records that the current document violates no rule. */
    void documentIsValid() {
        currentDocumentValid = true;
    }

    /** Returns whether the previous document was valid and contained this section. */
    boolean wasValid(String section) {
        return previousDocumentValid && previousDocument.containsKey(section);
    }

    /**
     * Returns the cached values of an equal section, or else reads them.
     *
     * @param section the name and the lines of the section
     */
    List<IniValue> values(String section, Supplier<List<IniValue>> reader) {
        List<IniValue> cached = previousDocument.get(section);
        return currentDocument.computeIfAbsent(section, key -> cached != null ? cached : reader.get());
    }
}
