/** Limits on retries. */
package org.sardinepost.core.retry;
