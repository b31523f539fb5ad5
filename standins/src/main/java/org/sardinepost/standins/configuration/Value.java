package org.sardinepost.standins.configuration;

/** One value of the configuration service and the revision it was written with. */
public record Value(long revision, String content) {}
