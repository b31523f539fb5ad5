package org.sardinepost.core.membership;

/** What the newest VM list says about an upstream that some list contained. */
enum ListedState {
    LIVE,
    LEAVING,
    /** No longer listed; kept until its connections fail, since the list lags. */
    ABSENT
}
