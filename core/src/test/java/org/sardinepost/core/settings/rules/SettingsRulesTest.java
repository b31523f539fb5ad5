package org.sardinepost.core.settings.rules;

import static org.sardinepost.core.ini.RuleAssertions.assertFindings;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.sardinepost.core.settings.SourceKeys;

/** Guards against rules that accept well-formed settings with which a daemon cannot work. */
class SettingsRulesTest {
    @Nested
    class AddressesDistinctRule {
        @Test
        void reportsASharedAddress() {
            assertFindings(
                            new AddressesDistinct(),
                            "[daemon]",
                            "caller-address = 10.0.0.1:80",
                            "admin-address = 10.0.0.1:81",
                            "peer-address = 10.0.0.1:80")
                    .containsExactly("4 [daemon] peer-address");
        }

        @Test
        void acceptsDifferentPorts() {
            assertFindings(
                            new AddressesDistinct(),
                            "[daemon]",
                            "caller-address = 10.0.0.1:80",
                            "admin-address = 10.0.0.1:81")
                    .isEmpty();
        }
    }

    @Nested
    class SourceLocationRule {
        private final SourceLocation rule = new SourceLocation(SourceKeys.VMS, SourceKeys.VMS_SOURCE);

        @Test
        void reportsAMissingLocation() {
            assertFindings(rule, "[vms]", "source = file", "url = http://a").containsExactly("1 [vms] file");
            assertFindings(rule, "[vms]", "source = service", "file = a").containsExactly("1 [vms] url");
        }

        @Test
        void acceptsEachSourceWithItsLocation() {
            assertFindings(rule, "[vms]", "source = none").isEmpty();
            assertFindings(rule, "[vms]", "source = file", "file = a", "url = http://a")
                    .isEmpty();
            assertFindings(rule, "[vms]", "source = service", "url = http://a").isEmpty();
        }
    }

    @Nested
    class PeersUniqueRule {
        @Test
        void reportsTheDuplicate() {
            assertFindings(new PeersUnique(), "[peers]", "addresses = 10.0.0.1:80, 10.0.0.1:80")
                    .containsExactly("2 [peers] addresses");
        }

        @Test
        void acceptsDifferentPeers() {
            assertFindings(new PeersUnique(), "[peers]", "addresses = 10.0.0.1:80, 10.0.0.1:81")
                    .isEmpty();
        }
    }

    @Nested
    class RequestFitsHeldBytesRule {
        @Test
        void alsoReportsTheDefaultLimit() {
            assertFindings(new RequestFitsHeldBytes(), "[limits]", "held-bytes = 1MiB")
                    .containsExactly("1 [limits] request-limit");
        }

        @Test
        void acceptsEqualLimits() {
            assertFindings(new RequestFitsHeldBytes(), "[limits]", "held-bytes = 4MiB", "request-limit = 4MiB")
                    .isEmpty();
        }
    }
}
