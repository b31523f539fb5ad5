package org.sardinepost.daemon.call;

import static com.google.common.truth.Truth.assertThat;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.sardinepost.core.routing.LeastInFlightDispatcher;
import org.sardinepost.core.text.Route;
import org.sardinepost.core.text.RouteShare;
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
    void serviceWithoutDirectCallsIsReachedThroughItsRoutesOnly() {
        Service service = Service.builder("orders")
                .hosts(List.of("orders.example"))
                .directCalls(false)
                .build();
        Route desk = Route.builder("r-2")
                .host("orders")
                .pathPrefix("/desk/")
                .shares(List.of(new RouteShare("orders", 1)))
                .build();
        registry.apply(new ServicesText(1, 1, List.of(service), List.of(desk)), Map.of());
        assertThat(registry.resolve("orders", "/desk/a", 0)).isPresent();
        assertThat(registry.resolve("orders", "/other", 0)).isEmpty();
        registry.apply(new ServicesText(2, 1, List.of(service), List.of()), Map.of());

        assertThat(registry.resolve("orders", "/desk/a", 0)).isEmpty();
        assertThat(registry.resolve("orders.example", "/", 0)).isEmpty();
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
