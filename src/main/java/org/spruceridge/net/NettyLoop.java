package org.spruceridge.net;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The loop on Netty's NIO transport: one thread for all connections and components. */
public final class NettyLoop implements Loop {
    private static final Logger LOG = LoggerFactory.getLogger(NettyLoop.class);

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("loop"), NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private BooleanSupplier requestsWaiting = () -> false;

    /** The event loop group on which channels are opened. */
    public EventLoopGroup group() {
        return group;
    }

    /** Sets how {@link #busy} finds out whether requests are queued. */
    void busyWhile(BooleanSupplier hasQueuedRequests) {
        requestsWaiting = hasQueuedRequests;
    }

    @Override
    public boolean busy() {
        return requestsWaiting.getAsBoolean();
    }

    /** Runs the task on the loop, from any thread. */
    public void execute(Runnable task) {
        loop.execute(() -> runLogged(task));
    }

    @Override
    public long nanos() {
        return System.nanoTime();
    }

    @Override
    public long wallMillis() {
        return System.currentTimeMillis();
    }

    @Override
    public Cancellable after(long delayNanos, Runnable task) {
        Future<?> pending = loop.schedule(() -> runLogged(task), Math.max(0, delayNanos), TimeUnit.NANOSECONDS);
        return () -> pending.cancel(false);
    }

    /** Waits until the loop ends, which it does only with the process. */
    public void join() throws InterruptedException {
        group.terminationFuture().await();
    }

    /** An exception of one task must not stop the others: it is logged and the loop goes on. */
    private static void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) { // the future of the task, which is discarded, would swallow it
            LOG.error("event loop task failed", e);
        }
    }
}
