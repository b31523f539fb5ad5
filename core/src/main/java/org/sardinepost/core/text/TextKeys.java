package org.sardinepost.core.text;

import java.util.List;
import org.sardinepost.core.ini.Key;
import org.sardinepost.core.ini.SectionFormat;
import org.sardinepost.core.ini.values.WholeNumber;

/** The keys of the {@code [text]} section, which describes the services text itself. */
public final class TextKeys {
    public static final Key<Long> VERSION = Key.required("version", new WholeNumber(1, Long.MAX_VALUE));

    public static final Key<Long> DAEMON_CEILING = Key.optional("daemon-ceiling", new WholeNumber(1, 10_000), "19");

    public static final SectionFormat SECTION =
            new SectionFormat("text", false, true, List.of(VERSION, DAEMON_CEILING));

    private TextKeys() {}
}
