package dappleseam.list;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dappleseam.router.Member;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.junit.jupiter.api.Test;

class ListReaderTest {
    private final ListReader reader = new ListReader(List.of("m1", "m2"), List.of("a", "b"));

    private NodeList read(String json) throws IOException {
        return reader.read(json.getBytes(StandardCharsets.UTF_8));
    }

    private static String list(String uid, String endpoint) {
        return "{\"rev\":4,\"all\":true,\"targets\":[{\"uid\":\"" + uid + "\",\"endpoint\":\"" + endpoint
                + "\",\"az\":\"b\",\"model\":\"m2\",\"pod_group\":3,\"state\":\"draining\",\"capacity_hint\":1.5,"
                + "\"boot_ms\":77}]}";
    }

    /** Guards the ring, which must be the same at every proxy: the address is not. */
    @Test
    void aNodeIsKnownByItsUidAndReachedAtItsEndpoint() throws IOException {
        ListEntry here = read(list("s-1", "127.0.0.1:6379")).entries().get(0);
        ListEntry there = read(list("s-1", "127.0.0.2:6379")).entries().get(0);
        assertThat(here.member()).isEqualTo(there.member())
                .isEqualTo(new Member(here.member().node(), Member.State.DRAINING, 1, 3, 1, 1.5, 77));
        assertThat(here.endpoint().getHostString()).isEqualTo("127.0.0.1");
        assertThat(read(list("s-2", "127.0.0.1:6379")).entries().get(0).member().node())
                .isNotEqualTo(here.member().node());
    }

    @Test
    void whatIsNoListIsToldApart() {
        assertThatThrownBy(() -> read("{\"rev\":1}")).isInstanceOf(IOException.class);
        assertThatThrownBy(() -> read(list("s-1", "nowhere"))).isInstanceOf(IOException.class)
                .hasMessageContaining("nowhere");
        assertThatThrownBy(() -> read("<html>")).isInstanceOf(IOException.class);
        assertThatThrownBy(() -> read("{\"rev\":1,\"targets\":[{}]}")).isInstanceOf(IOException.class);
        for (String odd : new String[] {"", "[]", "7", "{\"rev\":1,\"targets\":[7]}", "{\"rev\":1,\"targets\":[[]]}", "{\"rev\":1.5,\"targets\":[]}",
                "{\"rev\":99999999999999999999,\"targets\":[]}", "{\"rev\":1,\"targets\":{}}"}) {
            assertThatThrownBy(() -> read(odd)).as(odd).isInstanceOf(IOException.class);
        }
    }

    /** Cut at any byte it is no list; what is not known in it is passed over. */
    @Test
    void partOfAListIsNone() throws IOException {
        String whole = list("s-1", "127.0.0.1:6379").replace("\"rev\"", "\"new\":{\"a\":[1,{}]},\n  \"rev\"").replace("\"az\"", "\"tags\":[{\"uid\":\"no\"}], \"az\"");
        assertThat(read(whole).entries()).isEqualTo(read(list("s-1", "127.0.0.1:6379")).entries());
        for (int i = 0; i < whole.length(); i++) {
            String part = whole.substring(0, i);
            assertThatThrownBy(() -> read(part)).as(part).isInstanceOf(IOException.class);
        }
    }
}
