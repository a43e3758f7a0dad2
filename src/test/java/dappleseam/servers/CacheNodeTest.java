package dappleseam.servers;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.api.Test;

class CacheNodeTest {
    @Test
    void aReplyFasterThanTheRoundTripIsTooEarly() {
        assertThat(CacheNode.isTooEarly(1000, 1000.2, 0.4, 1000.3)).isTrue();
        assertThat(CacheNode.isTooEarly(1000, 1000.2, 0.4, 1000.5)).isFalse();
        assertThat(CacheNode.isTooEarly(1000.25, 1000.2, 0.4, 1000.3)).isFalse();
    }

    /** In the first second of a cold proxy, connections opened slowly, and valid replies were then taken for invalid ones. */
    @Test
    void aSlowConnectDoesNotMakeRepliesTooEarly() {
        assertThat(CacheNode.isTooEarly(1000, 1010, 41, 1034)).isFalse();
    }
}
