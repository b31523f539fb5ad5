package org.sardinepost.bench.capacity;

/** A cost measured at one input size. */
public record Measurement(int size, double value) {}
