package dappleseam.site;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;

/**
 * What one proxy is told at its start. {@code known} is the list as it last had it, as it was given; {@code control} is
 * null where operators have no door.
 */
public record ProxyConfig(String name, InetSocketAddress listen, InetSocketAddress control, InetSocketAddress listService, long seed,
                   int descriptors, int memoryMb, JsonNode knownList, Settings settings) {
    public ProxyConfig withKnownList(JsonNode list) {
        return new ProxyConfig(name, listen, control, listService, seed, descriptors, memoryMb, list, settings);
    }
}
