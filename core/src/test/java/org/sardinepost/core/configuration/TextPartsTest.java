package org.sardinepost.core.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.CharRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.StringLength;
import org.junit.jupiter.api.Test;

/** Guards against a daemon that assembles an altered or incomplete text from sections of its peers. */
class TextPartsTest {
    @Property(seed = "11")
    void joinedPartsEqualTheText(@ForAll @StringLength(max = 200) @CharRange(from = '[', to = ']') String brackets) {
        String text = brackets.replace('\\', '\n');
        assertThat(TextParts.of(text).text()).isEqualTo(text);
    }

    @Property(seed = "12")
    void alteredSectionIsNeverAccepted(
            @ForAll @IntRange(max = 9) int altered, @ForAll @StringLength(min = 1, max = 5) String change) {
        TextParts wanted = TextParts.of(SampleTexts.large(2, 9, 10, 4));
        List<String> sections = wanted.digests().stream()
                .map(digest -> wanted.section(digest).orElseThrow())
                .toList();
        List<String> received = new ArrayList<>(sections);
        received.set(altered, received.get(altered) + change);
        assertThat(TextParts.assemble(wanted.digests(), TextParts.empty(), received))
                .isEmpty();
    }

    @Property(seed = "13")
    void incompleteResponseIsNeverAccepted(@ForAll @IntRange(max = 9) int lost) {
        TextParts wanted = TextParts.of(SampleTexts.large(2, 9, 10, 4));
        TextDigest lostDigest = wanted.digests().get(lost);
        List<String> received = wanted.digests().stream()
                .filter(digest -> !digest.equals(lostDigest))
                .map(digest -> wanted.section(digest).orElseThrow())
                .toList();
        assertThat(TextParts.assemble(wanted.digests(), TextParts.empty(), received))
                .isEmpty();
    }

    @Test
    void onlyTheChangedSectionsOfALargeTextAreMissing() {
        TextParts held = TextParts.of(SampleTexts.large(1, 190, 5_200, 17));
        String newer = SampleTexts.large(2, 190, 5_200, 17);
        TextParts wanted = TextParts.of(newer);
        assertThat(newer.length()).isAtLeast(1_000_000);
        // The [text] section, which has the version, and the changed service.
        assertThat(held.missing(wanted.digests())).hasSize(2);
        List<String> received = held.missing(wanted.digests()).stream()
                .map(digest -> wanted.section(digest).orElseThrow())
                .toList();
        Optional<TextParts> assembled = TextParts.assemble(wanted.digests(), held, received);
        assertThat(assembled.map(TextParts::text)).hasValue(newer);
    }
}
