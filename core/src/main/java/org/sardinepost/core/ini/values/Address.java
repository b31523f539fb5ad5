package org.sardinepost.core.ini.values;

import java.net.InetAddress;
import java.net.UnknownHostException;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;
import org.sardinepost.core.routing.UpstreamId;

/**
 * The IP address of one VM with a port.
 *
 * <p>Processes connect to each other by IP address only, because the lookup of a host name can fail or its result can
 * change. IPv6 addresses are converted to a canonical form, so that two spellings of one address compare as equal.
 */
public record Address() implements ValueType<UpstreamId> {
    private static final int MAX_PORT = 65_535;
    private static final Pattern IPV6 = Pattern.compile("\\[([0-9A-Fa-f:]*:[0-9A-Fa-f:.]*)\\]");

    @Override
    public Parsed<UpstreamId> parse(String text) {
        return parseAddress(text).map(Parsed::success).orElseGet(() -> reject(text));
    }

    @Override
    public String allowed() {
        return "IP:PORT, such as 10.0.0.5:8080 or [2001:db8::5]:8080";
    }

    private static Optional<UpstreamId> parseAddress(String text) {
        int colon = text.lastIndexOf(':');
        if (colon < 0) {
            return Optional.empty();
        }
        Optional<Integer> port = Ipv4Literal.parseNumber(text, colon + 1, text.length(), MAX_PORT);
        return port.filter(number -> number > 0)
                .flatMap(number -> parseHost(text.substring(0, colon)).map(host -> new UpstreamId(host, number)));
    }

    private static Optional<String> parseHost(String text) {
        if (Ipv4Literal.isValid(text)) {
            // Other VMs cannot connect to the wildcard address.
            return text.equals("0.0.0.0") ? Optional.empty() : Optional.of(text);
        }
        Matcher matcher = IPV6.matcher(text);
        return matcher.matches() ? canonicalIpv6(matcher.group(1)) : Optional.empty();
    }

    /** Performs no name lookup, because the pattern matches only literals. */
    private static Optional<String> canonicalIpv6(String literal) {
        try {
            InetAddress address = InetAddress.getByName("[" + literal + "]");
            if (address.isAnyLocalAddress()) {
                return Optional.empty();
            }
            String host = address.getHostAddress();
            return Optional.of(host.contains(":") ? "[" + host + "]" : host);
        } catch (UnknownHostException e) {
            return Optional.empty();
        }
    }
}
