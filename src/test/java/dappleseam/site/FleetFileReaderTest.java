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

class FleetFileReaderTest {
    private static final Path SHIPPED = Path.of("deploy/fleet.json");

    @TempDir
    Path folder;

    private FleetConfig read(String text) throws Exception {
        return FleetConfigReader.read(Files.writeString(folder.resolve("fleet.json"), text), "n1", 7);
    }

    @Test
    void theExampleIsSoundAndLeavesDefaults() throws Exception {
        FleetConfig read = FleetConfigReader.read(SHIPPED, "n1", 7);
        assertThat(read.name().text()).isEqualTo("n1");
        assertThat(read.membershipConfig().initialFleetSize()).isEqualTo(7);
        assertThat(read.advertise()).isEqualTo(read.bind());
        assertThat(read.recordFile()).isNull();
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"\"fleet\": \"example\", | '' | fleet: is missing",
        "\"example\" | \"a fleet\" | fleet: is not 1 to 48 letters", "\"example\" | 5 | fleet: is no text",
        "127.0.0.1:7946 | 127.0.0.1 | bind: is not an address and a port", "127.0.0.1:7946 | 127.0.0.1:0 | bind: is no IPv4 address with a port",
        "127.0.0.1:7946 | 0.0.0.0:7946 | bind: is no address that others can send to; set advertise",
        "127.0.0.1:7948 | [::1]:7948 | seeds[1]: is no IPv4 address", "[\"127.0.0.1:7947\", \"127.0.0.1:7948\"] | 3 | seeds: is no list",
        "\"period_ms\": 1000 | \"period_ms\": 5 | period_ms: is no number from 20 to 60000",
        "\"period_ms\": 1000 | \"period_ms\": \"fast\" | period_ms: is no number", "\"period_ms\" | \"periods\" | periods: is not known",
        "} | '' | fleet.json: is not JSON"})
    void aFaultNamesItsKey(String sound, String faulty, String message) throws Exception {
        String shipped = Files.readString(SHIPPED);
        assertThat(shipped).contains(sound);
        assertThatThrownBy(() -> read(shipped.replace(sound, faulty))).isInstanceOf(InvalidConfigException.class).hasMessageStartingWith(message);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {"[\"a\",\"b\",\"c\"] | {} | ''", "[\"a\",\"b\"] | {} | leases.voters: are neither three nor five",
        "[\"a\",\"b\",\"a\"] | {} | leases.voters: names one twice", "[\"a\",\"b\",\"\"] | {} | leases.voters[2]: is not 1 to 48 letters",
        "[\"a\",\"b\",\"c\"] | {\"lease_ms\":5} | leases.lease_ms: is no number from 500 to 600000",
        "[\"a\",\"b\",\"c\"] | {\"drift\":0.5} | leases.drift: is no number from 0 to 0.1",
        "[\"a\",\"b\",\"c\"] | {\"lease\":5} | leases.lease: is not known",
        "[\"a\",\"b\",\"c\"] | {\"list_store\":\"http://127.0.0.1:80/l\"} | ''", "[\"a\",\"b\",\"c\"] | {\"list_store\":\"http:///l\"} | leases.list_store: is no address",
        "[\"a\",\"b\",\"c\"] | {\"list_store\":\"https://h/l\"} | leases.list_store: is no address of the form http://host:port/path",
        "[\"a\",\"b\",\"c\"] | {\"list_store\":5} | leases.list_store: is no text"})
    void leasesAreCheckedByKey(String voters, String more, String message) throws Exception {
        String text = Files.readString(SHIPPED).replace("\"forget_s\": 600", "\"forget_s\": 600, \"leases\": {\"voters\": " + voters
                + (more.equals("{}") ? "}" : ", " + more.substring(1)));
        if (message.isEmpty()) {
            assertThat(read(text).leases().majority()).isEqualTo(2);
        } else {
            assertThatThrownBy(() -> read(text)).isInstanceOf(InvalidConfigException.class).hasMessageStartingWith(message);
        }
    }

    @Test
    void aFileThatIsNotThereIsSaidSo() {
        assertThatThrownBy(() -> FleetConfigReader.read(folder.resolve("none"), "n1", 1)).isInstanceOf(InvalidConfigException.class)
                .hasMessageStartingWith("--fleet: cannot be read");
    }
}
