package org.sardinepost.standins;

/** Entry point of the standins program. */
public final class StandinsMain {
    private StandinsMain() {}

    public static void main(String[] args) {
        System.exit(2);
    }
}
