package org.sardinepost.core.configuration;

import java.util.Objects;

/**
 * One step of a {@link SectionDelta}: copies sections of the base text and then appends a text.
 *
 * @param first the index of the first section to copy
 * @param count the number of sections to copy; may be 0
 * @param inserted the text to append after the copied sections; may be empty
 */
public record SectionEdit(int first, int count, String inserted) {
    public SectionEdit {
        Objects.requireNonNull(inserted);
    }
}
