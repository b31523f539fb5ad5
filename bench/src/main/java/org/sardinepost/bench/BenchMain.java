package org.sardinepost.bench;

/** Entry point of the bench program. */
public final class BenchMain {
    private BenchMain() {}

    public static void main(String[] args) {
        System.exit(2);
    }
}
