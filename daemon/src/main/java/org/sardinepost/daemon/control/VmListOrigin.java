package org.sardinepost.daemon.control;

/** Who read a VM list from the source. */
enum VmListOrigin {
    OWN_READ("this daemon"),
    PEER("a peer");

    private final String label;

    VmListOrigin(String label) {
        this.label = label;
    }

    String label() {
        return label;
    }
}
