package org.sardinepost.bench.policies;

import java.util.SplittableRandom;

/** Distributions of service times. All have the mean {@link Deployment#MEAN_SERVICE_TIME_NANOS}. */
enum ServiceTime {
    EXPONENTIAL,
    /** Lognormal with a sigma of 0.5: the 99th percentile is 2.8 times the mean. */
    LOGNORMAL_NARROW,
    /** Lognormal with a sigma of 1: the 99th percentile is 6.2 times the mean. */
    LOGNORMAL_WIDE;

    private static final double NARROW_SIGMA = 0.5;
    private static final double WIDE_SIGMA = 1;

    long sample(SplittableRandom random) {
        return (long) (Deployment.MEAN_SERVICE_TIME_NANOS
                * switch (this) {
                    case EXPONENTIAL -> -Math.log(1 - random.nextDouble());
                    case LOGNORMAL_NARROW -> lognormal(random, NARROW_SIGMA);
                    case LOGNORMAL_WIDE -> lognormal(random, WIDE_SIGMA);
                });
    }

    private static double lognormal(SplittableRandom random, double sigma) {
        return Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2);
    }
}
