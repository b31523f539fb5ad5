package org.sardinepost.standins.configuration;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.Callable;
import org.sardinepost.core.routing.UpstreamId;
import org.sardinepost.standins.AddressConverter;
import org.sardinepost.standins.HttpUtil;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** Runs the stand-in configuration service until the process is terminated. */
@Command(
        name = "configuration",
        mixinStandardHelpOptions = true,
        description = "Serves values that can be read and watched.")
public final class ConfigurationCommand implements Callable<Integer> {
    @Option(
            names = "--address",
            required = true,
            converter = AddressConverter.class,
            description = "IP:PORT to serve on")
    private UpstreamId address;

    @Option(names = "--value", description = "NAME=FILE, the first content of a value; may be repeated")
    private Map<String, Path> files = Map.of();

    @Override
    public Integer call() throws Exception {
        ValueStore valueStore = new ValueStore();
        for (Map.Entry<String, Path> entry : files.entrySet()) {
            valueStore.put(entry.getKey(), Files.readString(entry.getValue()));
        }
        HttpUtil.startServer(address, new ConfigurationHandler(valueStore)).join();
        return 0;
    }
}
