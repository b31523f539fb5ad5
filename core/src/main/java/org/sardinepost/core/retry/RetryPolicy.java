package org.sardinepost.core.retry;

/**
 * Decides whether a call that failed on one upstream goes to another.
 *
 * <p>Only the daemon next to the failing upstream retries, so the attempts of all levels add up instead of multiplying. A
 * retry needs an attempt and time left, a request that is idempotent or known not to have run, and balance in the service's
 * retry budget. The budget is asked last, so that calls that can't be retried do not use it up.
 */
public final class RetryPolicy {
    private final RetryBudget budget;

    public RetryPolicy(RetryBudget budget) {
        this.budget = budget;
    }

    /** Records the first dispatch of a call, which earns the service a share of a retry. */
    public void recordCall(long nowNanos) {
        budget.recordCall(nowNanos);
    }

    /** Whether to dispatch the call again. A positive answer has taken the retry from the budget. */
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
