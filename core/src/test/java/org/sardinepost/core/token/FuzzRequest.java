package org.sardinepost.core.token;

import java.util.ArrayList;
import java.util.List;

/** A request that a caller wants to run, and all tokens that the caller received for it. */
final class FuzzRequest {
    final List<IdempotencyToken> tokens = new ArrayList<>();
    final RequestFingerprint request;

    FuzzRequest(int number, IdempotencyToken token) {
        this.request = RequestFingerprint.of("POST", "/orders/" + number, new byte[0]);
        tokens.add(token);
    }
}
