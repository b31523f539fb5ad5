package org.sardinepost.core.membership;

/** Rendezvous hashing: all daemons compute the same order of daemons for a key without communicating. */
public final class RendezvousHash {
    private RendezvousHash() {}

    /**
     * Returns whether the first daemon precedes the second for the key: by lower weight, and by name if the weights are
     * equal.
     */
    public static boolean precedes(String first, String second, long key) {
        long firstWeight = weight(first, key);
        long secondWeight = weight(second, key);
        return firstWeight == secondWeight
                ? first.compareTo(second) < 0
                : Long.compareUnsigned(firstWeight, secondWeight) < 0;
    }

    /** Returns the key for a name. */
    public static long keyOf(String name) {
        return fnv1a(name);
    }

    /**
     * Returns the weight of a name for a key; the name with the lowest unsigned weight comes first.
     *
     * @param nameKey the key for the name
     */
    public static long weight(long nameKey, long key) {
        return splitMix64(nameKey ^ splitMix64(key));
    }

    /** Combines FNV-1a hashes with the SplitMix64 finalizer, so that similar names have unrelated weights. */
    private static long weight(String daemon, long key) {
        return weight(fnv1a(daemon), key);
    }

    private static long fnv1a(String name) {
        long hash = 0xcbf29ce484222325L;
        for (int index = 0; index < name.length(); index++) {
            hash = (hash ^ name.charAt(index)) * 0x100000001b3L;
        }
        return hash;
    }

    private static long splitMix64(long value) {
        long mixed = value + 0x9e3779b97f4a7c15L;
        mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
