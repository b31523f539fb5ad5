package org.sardinepost.core.retry;

/**
 * Decides whether a call that failed on one upstream is retried on another.
 *
 * <p>Only the daemon that calls the failing upstream retries, so the attempts of nested levels add up instead of
 * multiplying. A retry requires a remaining attempt and remaining time, a request that is idempotent or known not to
 * have run, and balance in the service's retry budget. The budget is checked last, so that calls that can't be retried
 * do not consume it.
 */
public final class RetryPolicy {
    private final RetryBudget budget;

    public RetryPolicy(RetryBudget budget) {
        this.budget = budget;
    }

    /** Records the first dispatch of a call, which adds to the retry budget. */
    public void recordCall(long nowNanos) {
        budget.recordCall(nowNanos);
    }

    /** Returns whether to dispatch the call again. If so, the retry has been taken from the budget. */
    public boolean retry(FailedAttempt attempt, long nowNanos) {
        return attempt.attemptsLeft() > 0
                && attempt.deadlineNanos() - nowNanos > 0
                && repeatable(attempt)
                && budget.tryRetry(nowNanos);
    }

    private static boolean repeatable(FailedAttempt attempt) {
        return attempt.idempotent() || attempt.knownNotRun();
    }
}
