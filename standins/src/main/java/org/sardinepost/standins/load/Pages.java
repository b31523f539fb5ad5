package org.sardinepost.standins.load;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.eclipse.jetty.client.HttpClient;
import org.sardinepost.core.routing.UpstreamId;

/** Reads the pages of daemons and stand-in upstreams after a run. */
public final class Pages {
    private static final Pattern REASON_COUNTER =
            Pattern.compile("(sardinepost_\\w*(?:refusals|retries)_total)\\{.*reason=\"([a-z-]+)\".*} ([0-9.Ee+]+)");

    private final HttpClient client;

    public Pages(HttpClient client) {
        this.client = client;
    }

    /** Executions by request id, summed over the upstreams. */
    public Map<String, Integer> executions(List<UpstreamId> upstreams) throws Exception {
        Map<String, Integer> executions = new HashMap<>();
        for (UpstreamId upstream : upstreams) {
            String page =
                    client.GET("http://" + upstream + "/standin/executions").getContentAsString();
            page.lines().forEach(line -> {
                int space = line.lastIndexOf(' ');
                executions.merge(line.substring(0, space), Integer.parseInt(line.substring(space + 1)), Integer::sum);
            });
        }
        return executions;
    }

    /** Counters of refusals and retries by reason, summed over the daemons, without those at zero. */
    public Map<String, Long> reasons(List<UpstreamId> adminAddresses) throws Exception {
        Map<String, Long> reasons = new TreeMap<>();
        for (UpstreamId admin : adminAddresses) {
            String page = client.GET("http://" + admin + "/metrics").getContentAsString();
            for (String line : page.lines().toList()) {
                Matcher matcher = REASON_COUNTER.matcher(line);
                long count = matcher.matches() ? (long) Double.parseDouble(matcher.group(3)) : 0;
                if (count > 0) {
                    reasons.merge(matcher.group(1) + " " + matcher.group(2), count, Long::sum);
                }
            }
        }
        return reasons;
    }
}
