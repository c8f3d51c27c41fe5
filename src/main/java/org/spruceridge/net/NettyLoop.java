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

/** The event loop on Netty's NIO transport: one thread for all connections and components. */
public final class NettyLoop implements Loop {
    private static final Logger LOG = LoggerFactory.getLogger(NettyLoop.class);

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("loop"), NioIoHandler.newFactory());
    private final EventLoop loop = group.next();
    private BooleanSupplier busyCheck = () -> false;

    /** The event loop group with which channels are registered. */
    public EventLoopGroup group() {
        return group;
    }

    /** Sets the function that implements {@link #busy}. The function must return true while requests are queued. */
    void setBusyCheck(BooleanSupplier check) {
        busyCheck = check;
    }

    @Override
    public boolean busy() {
        return busyCheck.getAsBoolean();
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
        Future<?> scheduledTask = loop.schedule(() -> runLogged(task), Math.max(0, delayNanos), TimeUnit.NANOSECONDS);
        return () -> scheduledTask.cancel(false);
    }

    /** Blocks until the loop terminates, which happens only when the process exits. */
    public void join() throws InterruptedException {
        group.terminationFuture().await();
    }

    /**
     * Runs a task and logs its exception, if any. An exception therefore does not affect the other tasks of the loop.
     */
    private static void runLogged(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) { // otherwise the exception is lost in the future, which nothing reads
            LOG.error("event loop task failed", e);
        }
    }
}
