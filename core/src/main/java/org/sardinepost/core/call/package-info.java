/** Calls and how they end: context, outcome, refusal and retry reasons. */
package org.sardinepost.core.call;
