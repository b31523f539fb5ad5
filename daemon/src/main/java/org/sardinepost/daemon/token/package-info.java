/** Idempotency tokens on the path of a call and at the planned stop. */
package org.sardinepost.daemon.token;
