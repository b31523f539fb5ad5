/** Idempotency tokens in call processing and at the planned stop. */
package org.sardinepost.daemon.token;
