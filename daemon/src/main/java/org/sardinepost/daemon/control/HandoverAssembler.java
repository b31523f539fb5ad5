package org.sardinepost.daemon.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.sardinepost.peer.generated.HandoverFrame;

/** Assembles token table images from the frames that peers send. Confined to the control thread. */
final class HandoverAssembler {
    /** Twice the default limit of held bytes; the frames of a larger image are dropped. */
    private static final long MAX_IMAGE_BYTES = 128L << 20;

    private record ImageKey(long sender, long incarnation) {}

    private static final class Image {
        private final List<byte[]> frames = new ArrayList<>();
        private long bytes;
    }

    private final long ownIncarnation;
    private final Map<ImageKey, Image> images = new HashMap<>();

    HandoverAssembler(long ownIncarnation) {
        this.ownIncarnation = ownIncarnation;
    }

    /**
     * Adds a frame and returns all frames of the image if this was the last one. Frames for an earlier process at this
     * address are ignored.
     */
    Optional<List<byte[]>> add(long sender, HandoverFrame frame) {
        if (frame.getTargetIncarnation() != ownIncarnation) {
            return Optional.empty();
        }
        ImageKey key = new ImageKey(sender, frame.getIncarnation());
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

    /** Drops the incomplete images of a peer process that stopped or was disconnected. */
    void removeSender(long sender) {
        images.keySet().removeIf(key -> key.sender() == sender);
    }
}
