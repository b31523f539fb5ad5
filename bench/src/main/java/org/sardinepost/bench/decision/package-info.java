/** Measures the cost of one dispatch decision. */
package org.sardinepost.bench.decision;
