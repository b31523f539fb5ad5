/** Slopes of cost over size, from which docs/CAPACITY.md works out the figures at the size to design for. */
package org.sardinepost.bench.capacity;
