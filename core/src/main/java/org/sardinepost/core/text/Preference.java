package org.sardinepost.core.text;

/** Which goal takes precedence for a service when tail latency and the cost of measurements conflict. */
public enum Preference {
    LATENCY,
    MEASURING_COST
}
