package dappleseam.servers;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.origin.Origin;
import dappleseam.query.Backend;
import dappleseam.query.ConnectionPolicy;
import dappleseam.query.Execution;
import dappleseam.query.ReuseStats;
import dappleseam.query.WriteProgress;
import java.net.InetSocketAddress;
import java.util.List;
import org.junit.jupiter.api.Test;

class UnknownExecutionTest {
    /** An execution that is found on no connection was told as never written, so that a write that had run was refused and ran again. */
    @Test
    void anExecutionThatIsOnNoConnectionMayHaveRun() {
        InetSocketAddress nowhere = new InetSocketAddress("127.0.0.1", 1);
        ConnectionPolicy policy = new ConnectionPolicy(1, false, 1000, 1000, false, new ReuseStats());
        for (Backend backend : List.of(new CacheNode(null, nowhere, policy), new Origin(null, nowhere, policy))) {
            Execution execution = new Execution(null, 0, null, 0, 0, null);
            assertThat(backend.stopWaiting(execution)).isEqualTo(WriteProgress.COMPLETE);
            assertThat(backend.cancelUnsent(execution)).isFalse();
        }
    }
}
