package org.sardinepost.core.text;

import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;
import org.sardinepost.core.ini.values.Address;
import org.sardinepost.core.ini.values.Name;
import org.sardinepost.core.routing.Upstream;

/**
 * The address of an upstream and its failure domain.
 *
 * <p>An upstream without a failure domain belongs to none and is never preferred as a nearby upstream.
 */
public record UpstreamValue() implements ValueType<Upstream> {
    private static final Address ADDRESS = new Address();
    private static final Name FAILURE_DOMAIN = new Name();

    @Override
    public Parsed<Upstream> parse(String text) {
        int separator = text.indexOf('@');
        String address = separator < 0 ? text : text.substring(0, separator);
        String failureDomain = separator < 0 ? "" : text.substring(separator + 1);
        if (separator >= 0 && FAILURE_DOMAIN.parse(failureDomain).value().isEmpty()) {
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
