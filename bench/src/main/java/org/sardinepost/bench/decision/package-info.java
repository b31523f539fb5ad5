/** Cost of one dispatch decision. */
package org.sardinepost.bench.decision;
