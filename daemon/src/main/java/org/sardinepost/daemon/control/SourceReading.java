package org.sardinepost.daemon.control;

import java.util.Objects;
import java.util.Optional;

/**
 * One answer of a {@link PolledSource}.
 *
 * @param revision the source's revision of which this is the state; the same number means the same state on every daemon
 * @param servicesText the services text with the revision of its last change; empty if the source has none
 * @param vmList the VM list
 */
public record SourceReading(long revision, Optional<SourceValue> servicesText, String vmList) {
    public SourceReading {
        Objects.requireNonNull(servicesText);
        Objects.requireNonNull(vmList);
    }
}
