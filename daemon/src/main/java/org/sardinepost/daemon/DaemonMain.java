package org.sardinepost.daemon;

/** Entry point of the daemon program. */
public final class DaemonMain {
    private DaemonMain() {}

    public static void main(String[] args) {
        System.exit(2);
    }
}
