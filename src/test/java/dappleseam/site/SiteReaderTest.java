package dappleseam.site;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dappleseam.router.RouterSettings;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SiteReaderTest {
    private static final String SITE = """
            {"ceilings":{"mostExecutions":2},"rules":{"coldFrom":0.2,"warmAfterS":10},
             "serviceGrades":[{"name":"read","semantics":"read_like","sloTimeS":0.5,"statementTimeoutS":1}]}""";

    private static Settings read(String json) {
        return new ConfigReader().readSettings(json.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void whatIsMissingHasDefaults() {
        Settings site = read(SITE);
        assertThat(site.gradeNames()).containsExactly("read");
        assertThat(site.maxCommandsPerConnection()).isEqualTo(1);
        assertThat(site.routerSettings().parallelExecutions()).isFalse();
        assertThat(site.routerSettings().originModel()).isEqualTo(-1);
        assertThat(site.routerSettings().grades().get(0).sloMs()).isEqualTo(500);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "\"mostExecutions\":2 | \"mostExecutions\":\"two\" | ceilings.mostExecutions: is not a number from 0",
        "\"coldFrom\":0.2 | \"coldFrom\":-1 | rules.coldFrom: is not a number from 0",
        "\"coldFrom\":0.2 | \"coldFrom\":1.5 | rules.coldFrom: is over 1",
        "\"coldFrom\":0.2 | \"coldFrom\":0.2,\"fallMultiple\":-2 | rules.fallMultiple: is not a number from 0",
        "\"rules\" | \"extra\":{\"mode\":\"aside\"},\"rules\" | extra.originKind: is missing",
        "\"rules\" | \"flavors\":[\"m\"],\"extra\":{\"mode\":\"aside\",\"originKind\":1},\"rules\" | extra.originKind: names none of the flavors",
        "\"sloTimeS\":0.5 | \"slo\":1 | serviceGrades[0].sloTimeS: is missing",
        "\"mostExecutions\":2 | \"mostExecutions\":0 | ceilings.mostExecutions: is not over 0",
        "\"statementTimeoutS\":1 | \"statementTimeoutS\":0 | serviceGrades[0].statementTimeoutS: is not over 0",
        "\"statementTimeoutS\":1 | \"x\":1 | serviceGrades[0].statementTimeoutS: is missing",
        "\"name\":\"read\" | \"x\":1 | serviceGrades[0].name: is missing",
        "\"rules\" | \"rule\" | rules: is missing",
        "\"rules\" | \"zone\":\"north\",\"rules\" | zone: is not a number from 0",
        "\"rules\" | \"zone\":0.5,\"rules\" | zone: is no whole number",
        "\"rules\" | \"penalties\":{\"crossZone\":-1},\"rules\" | penalties.crossZone: is not a number from 0",
        "{\"name\":\"read\",\"semantics\":\"read_like\",\"sloTimeS\":0.5,\"statementTimeoutS\":1} | '' | serviceGrades: is empty"})
    void aFaultNamesItsKey(String sound, String faulty, String message) {
        assertThat(SITE).contains(sound);
        assertThatThrownBy(() -> read(SITE.replace(sound, faulty)))
                .isInstanceOf(InvalidConfigException.class).hasMessage(message);
    }

    /** A cold cache that never falls, as 0 says, gets all of its due, as one for which nothing is told. */
    @Test
    void noMultipleIsNoLimit() {
        assertThat(read(SITE).routerSettings().fallMultiple()).isEqualTo(3);
        assertThat(read(SITE.replace("\"coldFrom\":0.2", "\"coldFrom\":0.2,\"fallMultiple\":2")).routerSettings().fallMultiple()).isEqualTo(2);
        assertThat(read(SITE.replace("\"coldFrom\":0.2", "\"coldFrom\":0.2,\"fallMultiple\":0")).routerSettings().fallMultiple()).isInfinite();
    }

    /** The move: what the module newly reads, and that its absence or an unknown word leaves all as it was. */
    @Test
    void scalesThatMoveTheOwnZoneAndThePriceOfCrossingAreRead() {
        RouterSettings told = read(SITE.replace("\"rules\"", "\"weightSource\":\"live\",\"zone\":1,\"penalties\":"
                + "{\"crossZone\":0.12},\"rules\"")).routerSettings();
        assertThat(told.scaleMoves()).isTrue();
        assertThat(told.scaleIsStable()).isFalse();
        assertThat(told.zone()).isEqualTo(1);
        assertThat(told.crossPrice()).isEqualTo(0.12);
        for (String other : new String[] {"", "\"weightSource\":\"lunar\","}) {
            RouterSettings untold = read(SITE.replace("\"rules\"", other + "\"rules\"")).routerSettings();
            assertThat(untold.scaleMoves()).isFalse();
            assertThat(untold.scaleIsStable()).isFalse();
            assertThat(untold.zone()).isEqualTo(-1);
            assertThat(untold.crossPrice()).isZero();
        }
    }
}
