/** Compares dispatch policies by simulation on seeded traces with a virtual clock. */
package org.sardinepost.bench.policies;
