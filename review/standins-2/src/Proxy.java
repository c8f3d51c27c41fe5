import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A TCP proxy. In mode HOLD it keeps all bytes of both directions back, also those of new connections, and delivers them
 * in order once the mode is PASS again, also if the sender has given up and closed the connection.
 */
final class Proxy {
    enum Mode {
        PASS,
        HOLD,
        RESET
    }

    private final ServerSocket listener;
    private final int targetPort;
    private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private Mode mode = Mode.PASS;

    Proxy(int targetPort) throws IOException {
        this.listener = new ServerSocket(0, 256, InetAddress.getByName("127.0.0.1"));
        this.targetPort = targetPort;
        Http.daemon("proxy-" + targetPort, this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    synchronized void set(Mode newMode) {
        mode = newMode;
        if (newMode == Mode.RESET) {
            sockets.forEach(Proxy::reset);
        }
        notifyAll();
    }

    private synchronized boolean isHolding() {
        return mode == Mode.HOLD;
    }

    private synchronized Mode awaitNotHeld() {
        while (mode == Mode.HOLD) {
            try {
                wait();
            } catch (InterruptedException e) {
                throw new IllegalStateException(e);
            }
        }
        return mode;
    }

    private static void reset(Socket socket) {
        try {
            socket.setSoLinger(true, 0);
        } catch (IOException e) {
            // closed already
        }
        Http.closeQuietly(socket);
    }

    private void accept() {
        while (true) {
            try {
                Socket client = listener.accept();
                sockets.add(client);
                Http.daemon("proxied", () -> connect(client));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void connect(Socket client) {
        Socket server = new Socket();
        try {
            // A connection attempt during the interruption is given up and does not complete later.
            boolean attemptedDuringHold = isHolding();
            if (awaitNotHeld() == Mode.RESET || attemptedDuringHold) {
                reset(client);
                return;
            }
            client.setTcpNoDelay(true);
            server.setTcpNoDelay(true);
            server.connect(new InetSocketAddress("127.0.0.1", targetPort), 1000);
            sockets.add(server);
            Http.daemon("back", () -> copy(server, client));
            copy(client, server);
        } catch (IOException e) {
            reset(client);
            Http.closeQuietly(server);
        }
    }

    private void copy(Socket from, Socket to) {
        try {
            InputStream in = from.getInputStream();
            byte[] buffer = new byte[64 << 10];
            for (int count = in.read(buffer); count >= 0; count = in.read(buffer)) {
                byte[] bytes = Arrays.copyOf(buffer, count);
                awaitNotHeld();
                to.getOutputStream().write(bytes);
            }
            awaitNotHeld();
            to.shutdownOutput();
        } catch (IOException e) {
            awaitNotHeld();
            Http.closeQuietly(from);
            Http.closeQuietly(to);
        } finally {
            sockets.remove(from);
        }
    }
}
