package org.sardinepost.core.membership;

/**
 * Records that an upstream disappeared from the VM list.
 *
 * @param sinceNanos monotonic time at which the first VM list without the upstream was applied
 * @param simultaneous number of upstreams that disappeared with that VM list
 * @param previouslyListed number of upstreams that were listed before
 */
record Absence(long sinceNanos, int simultaneous, int previouslyListed) {}
