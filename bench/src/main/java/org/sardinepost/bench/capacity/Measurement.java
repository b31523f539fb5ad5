package org.sardinepost.bench.capacity;

/** One value measured at one size. */
public record Measurement(int size, double value) {}
