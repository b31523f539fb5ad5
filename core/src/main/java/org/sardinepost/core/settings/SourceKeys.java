package org.sardinepost.core.settings;

import java.time.Duration;
import java.util.List;
import org.sardinepost.core.ini.IniSection;
import org.sardinepost.core.ini.Key;
import org.sardinepost.core.ini.SectionFormat;
import org.sardinepost.core.ini.values.Choice;
import org.sardinepost.core.ini.values.DurationValue;
import org.sardinepost.core.ini.values.FilePath;
import org.sardinepost.core.ini.values.HttpUrl;

/** The keys of {@code [configuration]} and {@code [vms]}, the sources of the services text and the VM list. */
public final class SourceKeys {
    /** Excludes {@code none}, because a daemon cannot work without a services text. */
    public static final Key<Source.Kind> CONFIGURATION_SOURCE =
            Key.required("source", new Choice<>(List.of(Source.Kind.FILE, Source.Kind.SERVICE)));

    public static final Key<Source.Kind> VMS_SOURCE = Key.optional("source", Choice.of(Source.Kind.class), "none");

    public static final Key<String> FILE = Key.optional("file", new FilePath());

    public static final Key<String> URL = Key.optional("url", new HttpUrl());

    public static final Key<Duration> ABSENT_HOLD = Key.optional("absent-hold", new DurationValue("0s", "10m"));

    public static final SectionFormat CONFIGURATION =
            new SectionFormat("configuration", false, true, List.of(CONFIGURATION_SOURCE, FILE, URL));

    public static final SectionFormat VMS =
            new SectionFormat("vms", false, false, List.of(VMS_SOURCE, FILE, URL, ABSENT_HOLD));

    private SourceKeys() {}

    /** Reads the source from a section that violates no rule. */
    static Source readSource(IniSection section, Key<Source.Kind> kind) {
        return switch (kind.read(section)) {
            case NONE -> Source.none();
            case FILE -> Source.file(FILE.read(section));
            case SERVICE -> Source.service(URL.read(section));
        };
    }
}
