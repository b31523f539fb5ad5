package org.sardinepost.daemon.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sardinepost.peer.generated.HandoverFrame;

/** Puts the frames of token table images together. Owned by the control thread. */
final class HandoverInbox {
    /** Twice the default limit of held bytes; an image beyond it is refused by dropping its frames. */
    private static final long MAX_IMAGE_BYTES = 128L << 20;

    private record Key(long sender, long incarnation) {}

    private static final class Image {
        private final List<byte[]> frames = new ArrayList<>();
        private long bytes;
    }

    private final long ownIncarnation;
    private final Map<Key, Image> images = new HashMap<>();

    HandoverInbox(long ownIncarnation) {
        this.ownIncarnation = ownIncarnation;
    }

    /** Takes one frame, unless it is for an earlier process at this address; returns the frames of the whole image with the last one. */
    Optional<List<byte[]>> add(long sender, HandoverFrame frame) {
        if (frame.getTargetIncarnation() != ownIncarnation) {
            return Optional.empty();
        }
        Key key = new Key(sender, frame.getIncarnation());
        if (frame.getIndex() == 0) {
            images.put(key, new Image());
        }
        Image image = images.get(key);
        if (image == null || image.frames.size() != frame.getIndex()) {
            images.remove(key);
            return Optional.empty();
        }
        image.frames.add(frame.getContent().toByteArray());
        image.bytes += frame.getContent().size();
        if (image.bytes > MAX_IMAGE_BYTES) {
            images.remove(key);
            return Optional.empty();
        }
        if (!frame.getLast()) {
            return Optional.empty();
        }
        images.remove(key);
        return Optional.of(List.copyOf(image.frames));
    }

    /** Drops what a peer that is gone began to send. */
    void gone(long sender) {
        images.keySet().removeIf(key -> key.sender() == sender);
    }
}
