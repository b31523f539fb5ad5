package org.sardinepost.ctl;

/** Entry point of the ctl program. */
public final class CtlMain {
    private CtlMain() {}

    public static void main(String[] args) {
        System.exit(2);
    }
}
