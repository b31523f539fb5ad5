/** Idempotency tokens: which daemon incarnation may dispatch a non-idempotent request, and what became of it. */
package org.sardinepost.core.token;
