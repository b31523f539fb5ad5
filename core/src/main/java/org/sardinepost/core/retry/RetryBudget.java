package org.sardinepost.core.retry;

/**
 * Limits the retries of one service to a fraction of its calls.
 *
 * <p>Each call adds this fraction to the balance and each retry costs one. Of the balance earned more than two seconds
 * ago only a reserve of a few retries is kept, so that a quiet period can't fund a burst of retries during an outage,
 * and the retries of any ten seconds exceed the fraction of their calls by at most a fifth. The reserve allows a
 * service with little traffic to retry when an upstream leaves. There is no initial balance: the number of retries
 * never exceeds the fraction of the calls recorded so far.
 */
public final class RetryBudget {
    private static final long BUCKET_NANOS = 200_000_000L;
    private static final int BUCKETS = 10;
    /**
     * Balances are counted in millionths of a retry because sums of fractions such as 0.1 are not exact in floating
     * point.
     */
    private static final long RETRY_MICROS = 1_000_000L;

    private static final long RESERVE_MICROS = 3 * RETRY_MICROS;

    private final long earnedPerCallMicros;
    private final long[] earnedMicros = new long[BUCKETS];
    private long reserveMicros;
    private long currentBucket = Long.MIN_VALUE;

    /** @param ratio retries allowed per call, for example 0.1 */
    public RetryBudget(double ratio) {
        if (!(ratio >= 0 && ratio <= 1)) {
            throw new IllegalArgumentException("retry ratio " + ratio + " must be between 0 and 1");
        }
        this.earnedPerCallMicros = Math.round(ratio * RETRY_MICROS);
    }

    /** Records a call that is not a retry. */
    public synchronized void recordCall(long nowNanos) {
        advance(nowNanos);
        earnedMicros[index(currentBucket)] += earnedPerCallMicros;
    }

    /** Takes one retry from the budget; returns false if the budget is exhausted. */
    public synchronized boolean tryRetry(long nowNanos) {
        advance(nowNanos);
        if (balanceMicros() < RETRY_MICROS) {
            return false;
        }
        spendOldestFirst();
        return true;
    }

    private void advance(long nowNanos) {
        long bucket = Math.floorDiv(nowNanos, BUCKET_NANOS);
        if (currentBucket == Long.MIN_VALUE) {
            currentBucket = bucket;
        }
        long expired = Math.min(bucket - currentBucket, BUCKETS);
        for (long i = 1; i <= expired; i++) {
            int index = index(currentBucket + i);
            reserveMicros = Math.min(RESERVE_MICROS, reserveMicros + earnedMicros[index]);
            earnedMicros[index] = 0;
        }
        currentBucket = Math.max(currentBucket, bucket);
    }

    private long balanceMicros() {
        long balance = reserveMicros;
        for (long earned : earnedMicros) {
            balance += earned;
        }
        return balance;
    }

    private void spendOldestFirst() {
        long fromReserve = Math.min(RETRY_MICROS, reserveMicros);
        reserveMicros -= fromReserve;
        long remainingMicros = RETRY_MICROS - fromReserve;
        for (int age = BUCKETS - 1; remainingMicros > 0; age--) {
            int i = index(currentBucket - age);
            long spentMicros = Math.min(remainingMicros, earnedMicros[i]);
            earnedMicros[i] -= spentMicros;
            remainingMicros -= spentMicros;
        }
    }

    private static int index(long bucket) {
        return (int) Math.floorMod(bucket, (long) BUCKETS);
    }
}
