/** Comparison of dispatch policies on seeded traces over a virtual clock. */
package org.sardinepost.bench.policies;
