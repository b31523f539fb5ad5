package org.sardinepost.daemon.control;

import java.util.Objects;
import java.util.Optional;

/**
 * The state of a {@link PolledSource} at one revision.
 *
 * @param revision the revision of the source to which this state belongs; equal revisions mean equal states on all
 *     daemons
 * @param servicesText the services text and the revision of its last change; empty if the source has none
 * @param vmList the VM list
 */
public record SourceSnapshot(long revision, Optional<SourceValue> servicesText, String vmList) {
    public SourceSnapshot {
        Objects.requireNonNull(servicesText);
        Objects.requireNonNull(vmList);
    }
}
