package dappleseam.query;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CommandTest {
    /** Guards what goes on to a cache: only {@code d} changes, and only as a name of its own. */
    @Test
    void onlyTheWaitIsChanged() {
        Command command = new Command("k", "id", "c=put,d=480,k=d=5,id=7", null);
        assertThat(command.factsWithTimeout(99)).isEqualTo("c=put,d=99,k=d=5,id=7");
        assertThat(command.fact("d")).isEqualTo("480");
        assertThat(command.fact("r")).isEmpty();
    }
}
