package org.sardinepost.daemon.call;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.sardinepost.core.routing.LeastInFlightDispatcher;
import org.sardinepost.core.text.Service;
import org.sardinepost.core.text.ServicesText;

/** Guards against losing the counts of calls in progress when the services text changes. */
final class ServiceRegistryTest {
    private final ServiceRegistry registry = new ServiceRegistry(service -> new LeastInFlightDispatcher(), () -> 0);

    private void apply(long version, Service... services) {
        registry.apply(new ServicesText(version, 1, List.of(services)), Map.of());
    }

    private RegisteredService service(String name) {
        return registry.findService(name).orElseThrow();
    }

    @Test
    void serviceThatKeepsItsNameKeepsDispatcherAndRetryBudget() {
        apply(1, Service.builder("a").build());
        RegisteredService previous = service("a");
        apply(2, Service.builder("a").slots(9).build());

        assertThat(service("a").dispatcher()).isSameInstanceAs(previous.dispatcher());
        assertThat(service("a").retryBudget()).isSameInstanceAs(previous.retryBudget());
        assertThat(service("a").service().slots()).isEqualTo(9);
    }

    @Test
    void changedRetryBudgetShareCreatesNewBudget() {
        apply(1, Service.builder("a").build());
        RegisteredService previous = service("a");
        apply(2, Service.builder("a").retryBudgetShare(0.5).build());

        assertThat(service("a").retryBudget()).isNotSameInstanceAs(previous.retryBudget());
    }

    @Test
    void removedServiceIsUnknown() {
        apply(1, Service.builder("a").hosts(List.of("A.example")).build());
        assertThat(registry.resolve("a.example:8080", "/", 0)).isPresent();
        apply(2, Service.builder("b").build());

        assertThat(registry.resolve("a.example", "/", 0)).isEmpty();
        assertThat(registry.resolve("a", "/", 0)).isEmpty();
    }
}
