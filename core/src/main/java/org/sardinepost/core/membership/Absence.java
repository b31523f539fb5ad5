package org.sardinepost.core.membership;

/**
 * Records that an upstream disappeared from the VM list.
 *
 * @param sinceNanos monotonic time at which the first VM list without the upstream was applied
 * @param doubtful whether the registry was disturbed shortly before, so that the entry of a live upstream may have expired
 */
public record Absence(long sinceNanos, boolean doubtful) {}
