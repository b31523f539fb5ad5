package org.sardinepost.core.clients;

/**
 * What the memory account of a daemon contains at a moment.
 *
 * @param bodyBytes the bodies of requests and responses
 * @param callBytes the other memory of calls: heads, bytes read ahead, and an estimate for the objects of each call
 */
public record AccountState(long bodyBytes, long callBytes) {
    AccountState minus(ConnectionLoad<?> load) {
        return new AccountState(bodyBytes - load.bodyBytes(), callBytes - load.callBytes());
    }
}
