package org.sardinepost.standins;

import org.sardinepost.core.routing.UpstreamId;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Converts command-line options of the form {@code IP:PORT}. */
public final class AddressConverter implements ITypeConverter<UpstreamId> {
    @Override
    public UpstreamId convert(String value) {
        return UpstreamId.parse(value)
                .orElseThrow(() -> new TypeConversionException(
                        "'" + value + "' is not a valid address; use IP:PORT, for example 127.0.0.1:7001"));
    }
}
