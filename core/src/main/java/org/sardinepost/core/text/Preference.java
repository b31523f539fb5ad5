package org.sardinepost.core.text;

/** What a service weighs more when tail latency and the cost of measuring conflict. */
public enum Preference {
    LATENCY,
    MEASURING_COST
}
