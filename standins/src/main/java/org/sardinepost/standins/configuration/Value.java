package org.sardinepost.standins.configuration;

/** A value of the configuration service and the revision of its last write. */
public record Value(long revision, String content) {}
