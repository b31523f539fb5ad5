package org.sardinepost.core.settings;

import java.util.Objects;

/**
 * The location from which a daemon reads the services text or the VM list.
 *
 * @param kind the kind of source
 * @param location the path of the file or the URL; empty for {@link Kind#NONE}
 */
public record Source(Kind kind, String location) {
    /** The kinds of source. */
    public enum Kind {
        NONE,
        FILE,
        SERVICE
    }

    public Source {
        Objects.requireNonNull(kind);
        Objects.requireNonNull(location);
    }

    public static Source none() {
        return new Source(Kind.NONE, "");
    }

    public static Source file(String path) {
        return new Source(Kind.FILE, path);
    }

    public static Source service(String url) {
        return new Source(Kind.SERVICE, url);
    }
}
