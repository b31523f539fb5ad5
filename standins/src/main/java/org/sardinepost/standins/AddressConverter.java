package org.sardinepost.standins;

import org.sardinepost.core.routing.UpstreamId;
import picocli.CommandLine.ITypeConverter;
import picocli.CommandLine.TypeConversionException;

/** Reads {@code IP:PORT} options. */
public final class AddressConverter implements ITypeConverter<UpstreamId> {
    @Override
    public UpstreamId convert(String value) {
        return UpstreamId.parse(value)
                .orElseThrow(() -> new TypeConversionException(
                        "'" + value + "' is no address; write IP:PORT, for example 127.0.0.1:7001"));
    }
}
