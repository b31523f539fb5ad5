package org.sardinepost.core.ini.values;

import java.net.URI;
import java.net.URISyntaxException;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/**
 * A URL is an http URL with a host and without query and fragment.
 *
 * <p>The daemon adds its own query when it waits for a change.
 */
public record HttpUrl() implements ValueType<String> {
    @Override
    public Parsed<String> parse(String text) {
        try {
            return valid(new URI(text)) ? Parsed.good(text) : refuse(text);
        } catch (URISyntaxException e) {
            return refuse(text);
        }
    }

    @Override
    public String allowed() {
        return "a URL such as http://10.0.0.9:9000/v1/values/services";
    }

    private static boolean valid(URI uri) {
        return "http".equals(uri.getScheme())
                && uri.getHost() != null
                && uri.getRawUserInfo() == null
                && uri.getRawQuery() == null
                && uri.getRawFragment() == null;
    }
}
