package org.sardinepost.core.token;

import java.util.List;

/** An image on its way; it stays on the network, so that later steps deliver it again. */
record FuzzImage(FuzzDaemon sender, long incarnation, long target, List<byte[]> frames) {}
