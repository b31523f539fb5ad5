/**
 * Idempotency tokens, which determine the daemon incarnation that may dispatch a non-idempotent request, and its
 * outcome.
 */
package org.sardinepost.core.token;
