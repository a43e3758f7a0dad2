package dappleseam.proxy;

import static org.assertj.core.api.Assertions.assertThat;

import dappleseam.wire.BufferPool;
import dappleseam.wire.Link;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.xnio.ChannelPipe;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.StreamConnection;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

class EventLoopTest {
    /** litoral reload: right after a start answers lay unread while their deadlines were taken for silence. */
    @Test
    void aThreadThatIsLateReadsBeforeItJudges() throws Exception {
        BlockingQueue<String> happened = new LinkedBlockingQueue<>();
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        worker.getIoThread().execute(() -> {
            try {
                EventLoop loop = new EventLoop(worker.getIoThread(), new BufferPool(8), 1);
                ChannelPipe<StreamConnection, StreamConnection> pipe = worker.getIoThread().createFullDuplexPipeConnection();
                loop.link(pipe.getLeftSide(), new Link.Events() {
                    @Override
                    public void received(ByteBuffer bytes) {
                        happened.add("read");
                    }

                    @Override
                    public void ended(String cause) {}
                }).resume();
                loop.at(loop.nowMs() + 5, () -> happened.add("due"));
                pipe.getRightSide().getSinkChannel().write(ByteBuffer.wrap(new byte[1]));
                Thread.sleep(50);
            } catch (IOException | InterruptedException e) {
                happened.add(e.toString());
            }
        });
        assertThat(happened.poll(20, TimeUnit.SECONDS)).isEqualTo("read");
        assertThat(happened.poll(20, TimeUnit.SECONDS)).isEqualTo("due");
        worker.shutdownNow();
    }
}
