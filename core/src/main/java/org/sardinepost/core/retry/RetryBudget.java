package org.sardinepost.core.retry;

/**
 * Limits the retries of one service to a share of its calls.
 *
 * <p>Each call earns the share and each retry costs one. Of the balance that was earned more than two seconds ago only a few
 * retries remain, so that a quiet period can't pay for a burst of retries during an outage, and the retries of any ten
 * seconds stay within a fifth more than the share of their calls. These few let a service
 * with little traffic retry when an upstream leaves. Nothing is granted in advance: the number of retries never exceeds the
 * share of the calls recorded so far.
 */
public final class RetryBudget {
    private static final long BUCKET_NANOS = 200_000_000L;
    private static final int BUCKETS = 10;
    /** Balances are counted in millionths of a retry, since sums of fractions such as 0.1 are not exact. */
    private static final long RETRY_MICROS = 1_000_000L;

    private static final long RESERVE_MICROS = 3 * RETRY_MICROS;

    private final long shareMicros;
    private final long[] earnedMicros = new long[BUCKETS];
    private long reserveMicros;
    private long currentBucket = Long.MIN_VALUE;

    /** @param share retries allowed per call, for example 0.1 */
    public RetryBudget(double share) {
        if (!(share >= 0 && share <= 1)) {
            throw new IllegalArgumentException("retry share " + share + " must be between 0 and 1");
        }
        this.shareMicros = Math.round(share * RETRY_MICROS);
    }

    /** Records a call that is not itself a retry. */
    public synchronized void recordCall(long nowNanos) {
        advance(nowNanos);
        earnedMicros[index(currentBucket)] += shareMicros;
    }

    /** Takes one retry from the budget; false if the budget is used up. */
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
        long sum = reserveMicros;
        for (long earned : earnedMicros) {
            sum += earned;
        }
        return sum;
    }

    private void spendOldestFirst() {
        long fromReserve = Math.min(RETRY_MICROS, reserveMicros);
        reserveMicros -= fromReserve;
        long open = RETRY_MICROS - fromReserve;
        for (int age = BUCKETS - 1; open > 0; age--) {
            int i = index(currentBucket - age);
            long taken = Math.min(open, earnedMicros[i]);
            earnedMicros[i] -= taken;
            open -= taken;
        }
    }

    private static int index(long bucket) {
        return (int) Math.floorMod(bucket, (long) BUCKETS);
    }
}
