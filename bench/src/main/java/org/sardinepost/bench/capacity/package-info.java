/**
 * Measures how cost grows with size. docs/CAPACITY.md derives the figures for the design target from these linear fits.
 */
package org.sardinepost.bench.capacity;
