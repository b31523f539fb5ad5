package org.sardinepost.core.membership;

/** The state of an upstream according to the latest VM list. */
enum ListedState {
    LIVE,
    LEAVING,
    /**
     * No longer listed, but kept until a connection fails or the absence policy removes it, because the list can be
     * outdated.
     */
    ABSENT
}
