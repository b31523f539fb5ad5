package org.sardinepost.standins.load;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.eclipse.jetty.client.HttpClient;
import org.sardinepost.core.routing.UpstreamId;

/** Reads the counters of daemons and stand-in upstreams after a run. */
public final class CounterReader {
    private static final Pattern REASON_COUNTER =
            Pattern.compile("(sardinepost_\\w*(?:refusals|retries)_total)\\{.*reason=\"([a-z-]+)\".*} ([0-9.Ee+]+)");

    private final HttpClient client;

    public CounterReader(HttpClient client) {
        this.client = client;
    }

    /** Returns the number of executions by request id, summed over the upstreams. */
    public Map<String, Integer> executionCounts(List<UpstreamId> upstreams) throws Exception {
        Map<String, Integer> executionCounts = new HashMap<>();
        for (UpstreamId upstream : upstreams) {
            String body =
                    client.GET("http://" + upstream + "/standin/executions").getContentAsString();
            body.lines().forEach(line -> {
                int space = line.lastIndexOf(' ');
                executionCounts.merge(
                        line.substring(0, space), Integer.parseInt(line.substring(space + 1)), Integer::sum);
            });
        }
        return executionCounts;
    }

    /** Returns the non-zero counters of refusals and retries by reason, summed over the daemons. */
    public Map<String, Long> reasonCounts(List<UpstreamId> adminAddresses) throws Exception {
        Map<String, Long> reasonCounts = new TreeMap<>();
        for (UpstreamId admin : adminAddresses) {
            String body = client.GET("http://" + admin + "/metrics").getContentAsString();
            for (String line : body.lines().toList()) {
                Matcher matcher = REASON_COUNTER.matcher(line);
                long count = matcher.matches() ? (long) Double.parseDouble(matcher.group(3)) : 0;
                if (count > 0) {
                    reasonCounts.merge(matcher.group(1) + " " + matcher.group(2), count, Long::sum);
                }
            }
        }
        return reasonCounts;
    }
}
