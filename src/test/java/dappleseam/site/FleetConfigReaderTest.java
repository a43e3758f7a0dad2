package dappleseam.site;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dappleseam.fleet.peers.FleetConfig;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class FleetConfigReaderTest {
    private static final Path SHIPPED = Path.of("deploy/fleet.json");

    @TempDir
    Path folder;

    private FleetConfig read(String text) throws Exception {
        return FleetConfigReader.read(Files.writeString(folder.resolve("fleet.json"), text), "n1", 7);
    }

    @Test
    void theExampleIsValidAndUsesDefaults() throws Exception {
        FleetConfig read = FleetConfigReader.read(SHIPPED, "n1", 7);
        assertThat(read.name().text()).isEqualTo("n1");
        assertThat(read.membershipConfig().initialFleetSize()).isEqualTo(7);
        assertThat(read.advertise()).isEqualTo(read.bind());
        assertThat(read.recordFile()).isNull();
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"\"fleet\": \"example\", | '' | fleet: is missing",
        "\"example\" | \"a fleet\" | fleet: is not 1 to 48 letters", "\"example\" | 5 | fleet: is not a non-empty string",
        "127.0.0.1:7946 | 127.0.0.1 | bind: is not an address and a port", "127.0.0.1:7946 | 127.0.0.1:0 | bind: is not an IPv4 address with a port",
        "127.0.0.1:7946 | 0.0.0.0:7946 | bind: is not an address that other members can reach; set advertise",
        "127.0.0.1:7948 | [::1]:7948 | seeds[1]: is not an IPv4 address", "[\"127.0.0.1:7947\", \"127.0.0.1:7948\"] | 3 | seeds: is not a list",
        "\"period_ms\": 1000 | \"period_ms\": 5 | period_ms: is not a number from 20 to 60000",
        "\"period_ms\": 1000 | \"period_ms\": \"fast\" | period_ms: is not a number", "\"period_ms\" | \"periods\" | periods: is not known",
        "} | '' | fleet.json: is not JSON"})
    void anInvalidValueIsReportedByKey(String sound, String faulty, String message) throws Exception {
        String shipped = Files.readString(SHIPPED);
        assertThat(shipped).contains(sound);
        assertThatThrownBy(() -> read(shipped.replace(sound, faulty))).isInstanceOf(InvalidConfigException.class).hasMessageStartingWith(message);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"[\"a\",\"b\",\"c\"] | {} | ''", "[\"a\",\"b\"] | {} | leases.voters: does not name three or five members",
        "[\"a\",\"b\",\"a\"] | {} | leases.voters: names a member twice", "[\"a\",\"b\",\"\"] | {} | leases.voters[2]: is not 1 to 48 letters",
        "[\"a\",\"b\",\"c\"] | {\"lease_ms\":5} | leases.lease_ms: is not a number from 500 to 600000",
        "[\"a\",\"b\",\"c\"] | {\"previous_lease_ms\":5} | leases.previous_lease_ms: is not a number from 500 to 600000",
        "[\"a\",\"b\",\"c\"] | {\"drift\":0.5} | leases.drift: is not a number from 0 to 0.1",
        "[\"a\",\"b\",\"c\"] | {\"lease\":5} | leases.lease: is not known",
        "[\"a\",\"b\",\"c\"] | {\"list_store\":\"http://127.0.0.1:80/l\"} | ''", "[\"a\",\"b\",\"c\"] | {\"list_store\":\"http:///l\"} | leases.list_store: is not an address",
        "[\"a\",\"b\",\"c\"] | {\"list_store\":\"https://h/l\"} | leases.list_store: is not an address of the form http://host:port/path",
        "[\"a\",\"b\",\"c\"] | {\"list_store\":5} | leases.list_store: is not a non-empty string"})
    void leasesAreCheckedByKey(String voters, String more, String message) throws Exception {
        String text = Files.readString(SHIPPED).replace("\"forget_s\": 600", "\"forget_s\": 600, \"leases\": {\"voters\": " + voters
                + (more.equals("{}") ? "}" : ", " + more.substring(1)));
        if (message.isEmpty()) {
            assertThat(read(text).leases().majority()).isEqualTo(2);
        } else {
            assertThatThrownBy(() -> read(text)).isInstanceOf(InvalidConfigException.class).hasMessageStartingWith(message);
        }
    }

    /** A set after the first one may follow on one with a longer lease time: the longest allowed, unless the operator states it. */
    @ParameterizedTest
    @CsvSource({"'', 10000", "'\"number\":2,', 600000", "'\"number\":2,\"previous_lease_ms\":15000,', 15000", "'\"lease_ms\":700,', 700"})
    void previousLeaseTimeIsTheLongestUnlessStated(String keys, double expectedMs) throws Exception {
        String text = Files.readString(SHIPPED).replace("\"forget_s\": 600", "\"forget_s\": 600, \"leases\": {" + keys + "\"voters\": [\"a\",\"b\",\"c\"]}");
        assertThat(read(text).leases().previousLeaseMs()).isEqualTo(expectedMs);
    }

    @Test
    void aMissingFileIsReported() {
        assertThatThrownBy(() -> FleetConfigReader.read(folder.resolve("none"), "n1", 1)).isInstanceOf(InvalidConfigException.class)
                .hasMessageStartingWith("--fleet: cannot be read");
    }
}
