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
 * @param historyReplaced whether changes that an earlier read returned are no longer the same ones, because the source has
 *     returned from an older copy
 * @param historyLost whether the source had discarded the changes since the previous read
 */
public record SourceSnapshot(
        long revision,
        Optional<SourceValue> servicesText,
        String vmList,
        boolean historyReplaced,
        boolean historyLost) {
    /** Creates a snapshot that continues the history of the previous read. */
    public SourceSnapshot(long revision, Optional<SourceValue> servicesText, String vmList) {
        this(revision, servicesText, vmList, false, false);
    }

    public SourceSnapshot {
        Objects.requireNonNull(servicesText);
        Objects.requireNonNull(vmList);
    }
}
