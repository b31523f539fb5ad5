package org.sardinepost.core.membership.rules;

import static org.sardinepost.core.ini.RuleAssertions.assertFindings;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against VM lists that cause a daemon to send calls to a VM that does not serve them. */
class VmRulesTest {
    @Nested
    class VmAddressesRule {
        @Test
        void reportsInvalidAndDuplicateAddresses() {
            assertFindings(new VmAddresses(), "[vm]", "[vm host:80]", "[vm [::1]:80]", "[vm 10.0.0.1]")
                    .containsAtLeast("1 [vm]", "2 [vm host:80]", "4 [vm 10.0.0.1]");
        }

        @Test
        void acceptsUniqueAddresses() {
            assertFindings(new VmAddresses(), "[vm 10.0.0.1:80]", "[vm 10.0.0.1:81]")
                    .isEmpty();
        }
    }

    @Nested
    class ServiceMatchesRoleRule {
        @Test
        void reportsUpstreamWithoutServiceAndDaemonWithService() {
            assertFindings(
                            new ServiceMatchesRole(),
                            "[vm 10.0.0.1:80]",
                            "role = upstream",
                            "[vm 10.0.0.2:80]",
                            "role = daemon",
                            "service = a")
                    .containsExactly("1 [vm 10.0.0.1:80] service", "5 [vm 10.0.0.2:80] service");
        }

        @Test
        void acceptsMatchingRoles() {
            assertFindings(
                            new ServiceMatchesRole(),
                            "[vm 10.0.0.1:80]",
                            "role = upstream",
                            "service = a",
                            "[vm 10.0.0.2:80]",
                            "role = daemon")
                    .isEmpty();
        }
    }
}
