package org.sardinepost.daemon.control;

import org.sardinepost.core.configuration.TextDigest;

/** The text of a VM list and its digest, by which daemons recognize whether they hold the same list. */
record VmListText(String content, TextDigest digest) {
    static VmListText of(String content) {
        return new VmListText(content, TextDigest.of(content));
    }
}
