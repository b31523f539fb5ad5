package org.sardinepost.core.text;

import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;
import org.sardinepost.core.ini.values.Address;
import org.sardinepost.core.ini.values.Name;
import org.sardinepost.core.routing.Upstream;

/**
 * An upstream is an address and the failure domain it runs in.
 *
 * <p>Without a failure domain the upstream belongs to none, and the preference for near upstreams leaves it out.
 */
public record UpstreamValue() implements ValueType<Upstream> {
    private static final Address ADDRESS = new Address();
    private static final Name FAILURE_DOMAIN = new Name();

    @Override
    public Parsed<Upstream> parse(String text) {
        int at = text.indexOf('@');
        String address = at < 0 ? text : text.substring(0, at);
        String failureDomain = at < 0 ? "" : text.substring(at + 1);
        if (at >= 0 && FAILURE_DOMAIN.parse(failureDomain).value().isEmpty()) {
            return reject(text);
        }
        return ADDRESS.parse(address)
                .value()
                .map(id -> Parsed.success(new Upstream(id, failureDomain)))
                .orElseGet(() -> reject(text));
    }

    @Override
    public String allowed() {
        return "IP:PORT@FAILURE-DOMAIN, such as 10.0.0.5:7001@brno-1";
    }
}
