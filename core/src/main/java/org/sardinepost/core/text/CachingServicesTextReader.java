package org.sardinepost.core.text;

import org.sardinepost.core.ini.ValidationResult;
import org.sardinepost.core.ini.ValueCache;

/**
 * Reads successive services texts with the same results as {@link ServicesTextReader}, but reuses unchanged sections.
 *
 * <p>The control thread uses it to read a text on every update. Not thread-safe.
 */
public final class CachingServicesTextReader {
    private final ValueCache cache = new ValueCache();

    public ValidationResult<ServicesText> read(String file, String content) {
        return ServicesTextReader.read(file, content, cache);
    }
}
