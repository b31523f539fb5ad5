package org.sardinepost.core.settings;

import java.util.List;
import org.sardinepost.core.ini.Key;
import org.sardinepost.core.ini.SectionFormat;
import org.sardinepost.core.ini.values.HeaderName;
import org.sardinepost.core.ini.values.WholeNumber;

/** The keys of the {@code [log]} section. */
public final class LogKeys {
    public static final Key<String> REQUEST_ID_HEADER = Key.optional("request-id-header", new HeaderName());

    public static final Key<Long> CALL_LINES = Key.optional("call-lines", new WholeNumber(0, 1_000_000), "20");

    public static final SectionFormat SECTION =
            new SectionFormat("log", false, false, List.of(REQUEST_ID_HEADER, CALL_LINES));

    private LogKeys() {}
}
