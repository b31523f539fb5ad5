package org.sardinepost.core.ini.values;

import java.net.URI;
import java.net.URISyntaxException;
import org.sardinepost.core.ini.Parsed;
import org.sardinepost.core.ini.ValueType;

/**
 * An http URL with a host and without user info, query and fragment.
 *
 * <p>A query is not allowed, because the daemon adds its own when it waits for a change.
 */
public record HttpUrl() implements ValueType<String> {
    @Override
    public Parsed<String> parse(String text) {
        try {
            return isValid(new URI(text)) ? Parsed.success(text) : reject(text);
        } catch (URISyntaxException e) {
            return reject(text);
        }
    }

    @Override
    public String allowed() {
        return "a URL such as http://10.0.0.9:9000/v1/values/services";
    }

    private static boolean isValid(URI uri) {
        return "http".equals(uri.getScheme())
                && uri.getHost() != null
                && uri.getRawUserInfo() == null
                && uri.getRawQuery() == null
                && uri.getRawFragment() == null;
    }
}
