package org.sardinepost.core.configuration;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Random;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against daemons that send a long list as a whole when one entry of it changes, or that rebuild it wrongly. */
final class SectionDeltaTest {
    private static final int ENTRIES = 167;

    private static String entry(int index, String state) {
        return "[vm 10.1.0." + index + ":80]\nrole = upstream\nservice = booking\nfailure-domain = brno-" + index % 5
                + "\nstate = " + state + "\n";
    }

    private static String list(List<Integer> leaving, int removed) {
        StringBuilder text = new StringBuilder("# Servers registered in the store\n");
        for (int index = 0; index < ENTRIES; index++) {
            if (index != removed) {
                text.append(entry(index, leaving.contains(index) ? "leaving" : "live"));
            }
        }
        return text.toString();
    }

    private static int size(SectionDelta delta) {
        return delta.edits().stream()
                .mapToInt(edit -> edit.inserted().length() + 10)
                .sum();
    }

    @Nested
    class AChangeOfOneEntry {
        private final String base = list(List.of(), -1);

        @Test
        void ofALargeFleetTakesLessThanThreeEntries() {
            SectionDelta delta = SectionDelta.between(base, list(List.of(80), -1));

            assertThat(delta.apply(base)).hasValue(list(List.of(80), -1));
            assertThat(size(delta)).isLessThan(3 * entry(80, "leaving").length());
        }

        @Test
        void thatIsRemovedTakesNoText() {
            SectionDelta delta = SectionDelta.between(base, list(List.of(), 3));

            assertThat(delta.apply(base)).hasValue(list(List.of(), 3));
            assertThat(delta.edits().stream().map(SectionEdit::inserted).collect(Collectors.joining()))
                    .isEmpty();
        }
    }

    @Nested
    class AnyTwoTexts {
        @Test
        void areConnectedByTheirDelta() {
            Random random = new Random(20_261_205);
            for (int round = 0; round < 500; round++) {
                String base = randomText(random);
                String newText = randomText(random);
                assertThat(SectionDelta.between(base, newText).apply(base)).hasValue(newText);
            }
        }

        private String randomText(Random random) {
            StringBuilder text = new StringBuilder(random.nextBoolean() ? "" : "# note\n");
            int entries = random.nextInt(8);
            for (int i = 0; i < entries; i++) {
                text.append(entry(random.nextInt(5), random.nextBoolean() ? "live" : "leaving"));
            }
            return text.toString();
        }
    }

    @Nested
    class ADeltaForAnotherBase {
        @Test
        void isRejectedIfTheBaseLacksItsSections() {
            SectionDelta delta = new SectionDelta(List.of(new SectionEdit(0, 3, "")));

            assertThat(delta.apply(entry(1, "live"))).isEmpty();
        }

        @Test
        void isRejectedIfItsIndexesAreNegativeOrOverflow() {
            assertThat(new SectionDelta(List.of(new SectionEdit(-1, 1, ""))).apply(entry(1, "live")))
                    .isEmpty();
            assertThat(new SectionDelta(List.of(new SectionEdit(0, -1, ""))).apply(entry(1, "live")))
                    .isEmpty();
            assertThat(new SectionDelta(List.of(new SectionEdit(Integer.MAX_VALUE, Integer.MAX_VALUE, "")))
                            .apply(entry(1, "live")))
                    .isEmpty();
        }
    }
}
