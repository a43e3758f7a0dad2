package dappleseam.clients;

import java.util.concurrent.CompletableFuture;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/** Runs the steps of a test on the I/O thread of a worker of its own. */
public final class IoThreadRunner {
    /** Completes the result now or later on the I/O thread. */
    public interface Steps<T> {
        void run(XnioWorker worker, CompletableFuture<T> result) throws Exception;
    }

    private IoThreadRunner() {}

    /** Returns the result of the steps, or throws what they threw. */
    public static <T> T run(Steps<T> steps) throws Exception {
        XnioWorker worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
        CompletableFuture<T> result = new CompletableFuture<>();
        worker.getIoThread().execute(() -> {
            try {
                steps.run(worker, result);
            } catch (Exception | Error e) { // else a failing test would wait for ever
                result.completeExceptionally(e);
            }
        });
        try {
            return result.get();
        } finally {
            worker.shutdownNow();
        }
    }
}
