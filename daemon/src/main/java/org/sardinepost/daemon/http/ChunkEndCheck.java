package org.sardinepost.daemon.http;

import org.eclipse.jetty.http.BadMessageException;

/** Follows the chunks of one body and refuses chunk data that is longer than its size. */
final class ChunkEndCheck {
    private static final int HEX = 16;

    private enum Place {
        SIZE,
        EXTENSION,
        DATA,
        CR_AFTER_DATA,
        LF_AFTER_DATA
    }

    private Place place = Place.SIZE;
    private long size;

    void reset() {
        place = Place.SIZE;
        size = 0;
    }

    /** Takes the next byte; the parser has already refused sizes that are no numbers or too large. */
    void next(byte value) {
        switch (place) {
            case SIZE -> size(value);
            case EXTENSION -> extension(value);
            case DATA -> data();
            case CR_AFTER_DATA -> expect('\r', value, Place.LF_AFTER_DATA);
            case LF_AFTER_DATA -> {
                expect('\n', value, Place.SIZE);
                size = 0;
            }
        }
    }

    private void size(byte value) {
        int digit = Character.digit(value, HEX);
        if (digit >= 0) {
            size = size * HEX + digit;
        } else {
            place = Place.EXTENSION;
            extension(value);
        }
    }

    private void extension(byte value) {
        if (value == '\n') {
            place = size == 0 ? Place.SIZE : Place.DATA;
        }
    }

    private void data() {
        size--;
        if (size == 0) {
            place = Place.CR_AFTER_DATA;
        }
    }

    private void expect(char wanted, byte value, Place next) {
        if (value != wanted) {
            throw new BadMessageException("chunk data longer than its size");
        }
        place = next;
    }
}
