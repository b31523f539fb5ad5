/** Admission of calls: waiting calls, the estimate of their wait and the number of calls in progress. */
package org.sardinepost.core.admission;
