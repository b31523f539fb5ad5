package org.sardinepost.core.retry;

/**
 * An attempt of a call that was not answered.
 *
 * @param idempotent whether the request may be executed more than once
 * @param knownNotRun whether it is known that no upstream started the request, on this and every earlier attempt
 * @param attemptsLeft number of further dispatches that the call may cause
 * @param deadlineNanos when the caller stops waiting, on the monotonic clock
 */
public record FailedAttempt(boolean idempotent, boolean knownNotRun, int attemptsLeft, long deadlineNanos) {}
