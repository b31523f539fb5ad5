package org.sardinepost.core.settings;

/** Which daemon chooses the upstreams for a daemon's calls. */
public enum PlacementMode {
    /** The daemon itself, based on its own counters and on load reported in responses and by peers. */
    OWN,
    /** One daemon of the fleet per service, which sees all calls; the daemon itself if that one does not respond. */
    SHARED
}
