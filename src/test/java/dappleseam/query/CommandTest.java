package dappleseam.query;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CommandTest {
    /** In what is forwarded to a cache only {@code d} changes, and not where the text appears inside another value. */
    @Test
    void onlyTheTimeoutIsChanged() {
        Command command = new Command("k", "id", "c=put,d=480,k=d=5,id=7", null);
        assertThat(command.factsWithTimeout(99)).isEqualTo("c=put,d=99,k=d=5,id=7");
        assertThat(command.fact("d")).isEqualTo("480");
        assertThat(command.fact("r")).isEmpty();
    }
}
