package org.sardinepost.core.retry;

/**
 * One attempt of a call that did not bring an answer.
 *
 * @param idempotent whether the request may run more than once
 * @param knownNotRun whether it is known that no upstream started the request, on this and on every earlier attempt
 * @param attemptsLeft further dispatches that the call may cause
 * @param deadlineNanos when the caller stops waiting, on the monotonic clock
 */
public record FailedAttempt(boolean idempotent, boolean knownNotRun, int attemptsLeft, long deadlineNanos) {}
