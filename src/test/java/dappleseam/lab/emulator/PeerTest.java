package dappleseam.lab.emulator;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import org.junit.jupiter.api.Test;

class PeerTest {
    /** A listener that closes is held for a moment by its thread in accept: the next process found the address in use. */
    @Test
    void aPeerComesBackAtItsAddressRightAfterItDied() throws Exception {
        try (Peer peer = new Peer() {
            @Override
            void serve(InputStream in, OutputStream out) throws IOException {
                out.write('x');
            }
        }) {
            peer.begin();
            for (int i = 0; i < 200; i++) {
                peer.die();
                peer.comeBack();
                try (Socket socket = new Socket("127.0.0.1", peer.port())) {
                    assertThat(socket.getInputStream().read()).isEqualTo('x');
                }
            }
        }
    }
}
