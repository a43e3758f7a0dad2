package dappleseam.site;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import dappleseam.router.Deployment;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class SiteReaderTest {
    private static final String SITE = """
            {"ceilings":{"mostExecutions":2},"rules":{"coldFrom":0.2,"warmAfterS":10},
             "serviceGrades":[{"name":"read","semantics":"read_like","sloTimeS":0.5,"statementTimeoutS":1}]}""";

    private static Site read(String json) {
        return new SiteReader().readSite(json.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void whatIsMissingHasDefaults() {
        Site site = read(SITE);
        assertThat(site.gradeNames()).containsExactly("read");
        assertThat(site.commandsAtOnce()).isEqualTo(1);
        assertThat(site.deployment().parallelExecutions()).isFalse();
        assertThat(site.deployment().originModel()).isEqualTo(-1);
        assertThat(site.deployment().grades().get(0).sloMs()).isEqualTo(500);
    }

    @ParameterizedTest
    @CsvSource(delimiter = '|', value = {
        "\"mostExecutions\":2 | \"mostExecutions\":\"two\" | ceilings.mostExecutions: is not a number of at least 0",
        "\"coldFrom\":0.2 | \"coldFrom\":-1 | rules.coldFrom: is not a number of at least 0",
        "\"coldFrom\":0.2 | \"coldFrom\":1.5 | rules.coldFrom: is greater than 1",
        "\"coldFrom\":0.2 | \"coldFrom\":0.2,\"fallMultiple\":-2 | rules.fallMultiple: is not a number of at least 0",
        "\"rules\" | \"extra\":{\"mode\":\"aside\"},\"rules\" | extra.originKind: is missing",
        "\"rules\" | \"flavors\":[\"m\"],\"extra\":{\"mode\":\"aside\",\"originKind\":1},\"rules\" | extra.originKind: is not an index into flavors",
        "\"sloTimeS\":0.5 | \"slo\":1 | serviceGrades[0].sloTimeS: is missing",
        "\"mostExecutions\":2 | \"mostExecutions\":0 | ceilings.mostExecutions: is not greater than 0",
        "\"statementTimeoutS\":1 | \"statementTimeoutS\":0 | serviceGrades[0].statementTimeoutS: is not greater than 0",
        "\"statementTimeoutS\":1 | \"x\":1 | serviceGrades[0].statementTimeoutS: is missing",
        "\"name\":\"read\" | \"x\":1 | serviceGrades[0].name: is missing",
        "\"rules\" | \"rule\" | rules: is missing",
        "\"rules\" | \"zone\":\"north\",\"rules\" | zone: is not a number of at least 0",
        "\"rules\" | \"zone\":0.5,\"rules\" | zone: is not an integer",
        "\"rules\" | \"penalties\":{\"crossZone\":-1},\"rules\" | penalties.crossZone: is not a number of at least 0",
        "{\"name\":\"read\",\"semantics\":\"read_like\",\"sloTimeS\":0.5,\"statementTimeoutS\":1} | '' | serviceGrades: is empty"})
    void aFaultNamesItsKey(String sound, String faulty, String message) {
        assertThat(SITE).contains(sound);
        assertThatThrownBy(() -> read(SITE.replace(sound, faulty)))
                .isInstanceOf(FaultySettingException.class).hasMessage(message);
    }

    /** 0 says that a cold cache never fails, so there is no limit; a missing key has the default. */
    @Test
    void noMultipleIsNoLimit() {
        assertThat(read(SITE).deployment().fallMultiple()).isEqualTo(3);
        assertThat(read(SITE.replace("\"coldFrom\":0.2", "\"coldFrom\":0.2,\"fallMultiple\":2")).deployment().fallMultiple()).isEqualTo(2);
        assertThat(read(SITE.replace("\"coldFrom\":0.2", "\"coldFrom\":0.2,\"fallMultiple\":0")).deployment().fallMultiple()).isInfinite();
    }

    /** Settings for dynamic weights and zones are read; without them, or with an unknown weight source, all nodes count alike. */
    @Test
    void scalesThatMoveTheOwnZoneAndThePriceOfCrossingAreRead() {
        Deployment told = read(SITE.replace("\"rules\"", "\"weightSource\":\"live\",\"zone\":1,\"penalties\":"
                + "{\"crossZone\":0.12},\"rules\"")).deployment();
        assertThat(told.scaleMoves()).isTrue();
        assertThat(told.scaleIsStable()).isFalse();
        assertThat(told.zone()).isEqualTo(1);
        assertThat(told.crossPrice()).isEqualTo(0.12);
        for (String other : new String[] {"", "\"weightSource\":\"lunar\","}) {
            Deployment untold = read(SITE.replace("\"rules\"", other + "\"rules\"")).deployment();
            assertThat(untold.scaleMoves()).isFalse();
            assertThat(untold.scaleIsStable()).isFalse();
            assertThat(untold.zone()).isEqualTo(-1);
            assertThat(untold.crossPrice()).isZero();
        }
    }
}
