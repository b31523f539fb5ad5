package org.sardinepost.core.token;

import java.util.ArrayList;
import java.util.List;

/** One request that a caller wants to run, and every token text that the caller received for it. */
final class FuzzOrder {
    final List<IdempotencyToken> tokens = new ArrayList<>();
    final RequestFingerprint request;

    FuzzOrder(int number, IdempotencyToken token) {
        this.request = RequestFingerprint.of("POST", "/orders/" + number, new byte[0]);
        tokens.add(token);
    }
}
