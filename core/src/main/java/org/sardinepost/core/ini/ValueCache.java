package org.sardinepost.core.ini;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/**
 * Keeps the values of sections that did not change from one text to the next.
 *
 * <p>A change usually touches one of many services, and reading all values again took most of the time of a change. Only
 * the sections of the last text are kept. For use by one thread.
 */
public final class ValueCache {
    private Map<String, List<IniValue>> lastText = new HashMap<>();
    private Map<String, List<IniValue>> thisText = new HashMap<>();

    /** Drops what the last text did not use. */
    void startText() {
        lastText = thisText;
        thisText = new HashMap<>();
    }

    /** The values of a section whose lines are the same as before, or else those that are read now. */
    List<IniValue> values(String lines, Function<String, List<IniValue>> read) {
        List<IniValue> known = lastText.get(lines);
        return thisText.computeIfAbsent(lines, absent -> known != null ? known : read.apply(absent));
    }
}
