package dappleseam.site;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;

/**
 * The configuration of one proxy. {@code knownList} is a previously received list as JSON, missing or not an object if there is none;
 * {@code control} is null if there is no control port.
 */
public record ProxyConfig(String name, InetSocketAddress listen, InetSocketAddress control, InetSocketAddress listService, long seed,
                   int descriptors, int memoryMb, JsonNode knownList, Settings settings) {
    /** A copy with another list. */
    public ProxyConfig withKnownList(JsonNode list) {
        return new ProxyConfig(name, listen, control, listService, seed, descriptors, memoryMb, list, settings);
    }
}
