package org.sardinepost.core.token;

import java.util.List;

/** A token image in transit. It is never removed from the network, so that later steps can deliver it again. */
record FuzzImage(FuzzDaemon sender, long incarnation, long target, List<byte[]> frames) {}
