/** Admission of calls: queues, wait estimates and limits on the calls in progress. */
package org.sardinepost.core.admission;
