/** Calls and their results: context, outcome, refusal and retry reasons. */
package org.sardinepost.core.call;
