package dappleseam.fleet.lastlist;

import dappleseam.list.ListReader;
import dappleseam.list.NodeList;
import dappleseam.wire.Json;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;

/** Lists for tests of the stores. */
final class TestLists {
    private TestLists() {}

    /** A list of one draining node. */
    static NodeList list(long version) throws IOException {
        String json = "{\"rev\":" + version + ",\"all\":true,\"targets\":[{\"uid\":\"u1\",\"endpoint\":\"127.0.0.1:7\",\"az\":\"a\",\"model\":\"m\",\"pod_group\":0,"
                + "\"state\":\"draining\",\"capacity_hint\":1,\"boot_ms\":0}]}";
        return new ListReader(List.of("m"), List.of("a")).read(Json.read(json.getBytes(StandardCharsets.UTF_8)));
    }
}
