package org.spruceridge.sim;

import java.io.IOException;
import java.io.InputStream;
import java.io.UncheckedIOException;
import java.lang.reflect.InvocationHandler;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.net.MalformedURLException;
import java.net.URL;
import java.net.URLClassLoader;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.zip.ZipEntry;
import java.util.zip.ZipInputStream;
import javax.tools.ToolProvider;
import org.spruceridge.config.Address;
import org.spruceridge.net.Cancellable;
import org.spruceridge.net.HttpAnswer;
import org.spruceridge.net.HttpCall;
import org.spruceridge.net.Request;
import org.spruceridge.net.Response;

/**
 * Runs the code of the version in production. Its sources are taken from the repository's history at the commit that
 * the deploy file names, compiled against the test's libraries and loaded by a separate class loader. Proxies connect
 * the clocks and the network of that version to the simulator. The test fails if the history lacks that commit.
 */
public final class ProductionVersion {
    private static final Path DEPLOY_FILE = Path.of("deploy", "service.toml");
    private static final Pattern COMMIT_LINE = Pattern.compile("(?m)^production = \"([0-9a-f]{40})\"$");
    private static final String SOURCES = "src/main/java";
    private static final String ROOT_PACKAGE = "org.spruceridge.";
    private static final Map<String, ClassLoader> CLASS_LOADERS_BY_COMMIT = new ConcurrentHashMap<>();

    private ProductionVersion() {}

    /** The commit that the deploy file names as the version in production. */
    public static String commit() {
        try {
            Matcher matcher = COMMIT_LINE.matcher(Files.readString(DEPLOY_FILE));
            if (!matcher.find()) {
                throw new AssertionError(DEPLOY_FILE + " has no line production = \"<commit of 40 hex digits>\"");
            }
            return matcher.group(1);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Loads a class of the version in production; {@code name} is relative to the root package. */
    public static Class<?> load(String name) {
        try {
            return Class.forName(
                    ROOT_PACKAGE + name,
                    true,
                    CLASS_LOADERS_BY_COMMIT.computeIfAbsent(commit(), ProductionVersion::compileAndLoad));
        } catch (ClassNotFoundException e) {
            throw new AssertionError(e);
        }
    }

    /** A node of the version in production. */
    static SimNode node(SimNode.Dependencies dependencies) {
        Object settings = call(load("config.Settings"), "read", null, dependencies.settings());
        Object policy = call(load("config.Policy"), "defaults", null);
        Class<?> loop = load("net.Loop");
        Class<?> http = load("net.HttpClient");
        Class<?> peerTransport = load("peer.PeerTransport");
        try {
            Object node = load("node.Node")
                    .getConstructor(
                            loop, http, peerTransport, RandomGenerator.class, settings.getClass(), policy.getClass())
                    .newInstance(
                            bridge(loop, dependencies.loop()),
                            bridge(http, dependencies.http()),
                            bridge(peerTransport, dependencies.peerTransport()),
                            dependencies.random(),
                            settings,
                            policy);
            return new ProductionNode(node);
        } catch (ReflectiveOperationException e) {
            throw new LinkageError("cannot construct node.Node of the version in production", e);
        }
    }

    private record ProductionNode(Object node) implements SimNode {
        @Override
        public void start(Runnable onReady) {
            call(node.getClass(), "start", node, onReady);
        }

        @Override
        public boolean leads() {
            return (boolean) call(node.getClass(), "leads", node);
        }

        @Override
        public void handle(Request request, Consumer<Response> onResponse) {
            Object handler = call(node.getClass(), "handler", node);
            Consumer<Object> converted = response -> onResponse.accept((Response) fromProduction(response));
            call(load("net.RequestHandler"), "handle", handler, toProduction(request), converted);
        }
    }

    /** Calls the public method with this name and as many parameters as there are arguments; fails if there is none. */
    public static Object call(Class<?> type, String name, Object target, Object... arguments) {
        for (Method method : type.getMethods()) {
            if (method.getName().equals(name) && method.getParameterCount() == arguments.length) {
                return invoke(method, target, arguments);
            }
        }
        throw new AssertionError(type + " has no method " + name);
    }

    private static Object invoke(Method method, Object target, Object... arguments) {
        try {
            return method.invoke(target, arguments);
        } catch (InvocationTargetException e) {
            if (e.getCause() instanceof Error error) {
                throw error;
            }
            throw new AssertionError(e.getCause());
        } catch (IllegalAccessException e) {
            throw new AssertionError(e);
        }
    }

    /**
     * Returns a proxy that implements {@code type}, an interface of the version in production. The proxy forwards each
     * call to the method of the same name of {@code delegate}, an object of the version under test.
     */
    private static Object bridge(Class<?> type, Object delegate) {
        InvocationHandler handler = (proxy, method, arguments) -> {
            Object[] productionArguments = arguments == null ? new Object[0] : arguments;
            Object[] converted = new Object[productionArguments.length];
            for (int i = 0; i < productionArguments.length; i++) {
                converted[i] = productionArguments[i] instanceof Consumer<?>
                        ? bridgeConsumer((Consumer<?>) productionArguments[i])
                        : fromProduction(productionArguments[i]);
            }
            Object result = call(firstInterface(delegate), method.getName(), delegate, converted);
            return result instanceof Cancellable ? bridge(load("net.Cancellable"), result) : result;
        };
        return Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, handler);
    }

    /**
     * Returns the first interface that the class of {@code delegate} implements. The methods are looked up in this
     * public interface, because the class itself need not be public.
     */
    private static Class<?> firstInterface(Object delegate) {
        return delegate.getClass().getInterfaces()[0];
    }

    @SuppressWarnings("unchecked")
    private static Consumer<Object> bridgeConsumer(Consumer<?> consumer) {
        return value -> ((Consumer<Object>) consumer).accept(toProduction(value));
    }

    private static Object toProduction(Object value) {
        if (value instanceof HttpAnswer response) {
            return createRecord("net.HttpAnswer", response.status(), response.body(), response.sent());
        }
        if (value instanceof Request request) {
            return createRecord("net.Request", request.method(), request.path(), request.body());
        }
        return value;
    }

    private static Object fromProduction(Object value) {
        if (value == null || value.getClass().getClassLoader() == ProductionVersion.class.getClassLoader()) {
            return value;
        }
        return switch (value.getClass().getName()) {
            case ROOT_PACKAGE + "config.Address" -> new Address(
                    (String) read(value, "host"), (int) read(value, "port"));
            case ROOT_PACKAGE + "net.HttpCall" -> new HttpCall(
                    (String) read(value, "method"), (String) read(value, "target"), (byte[]) read(value, "body"));
            case ROOT_PACKAGE + "net.Response" -> new Response(
                    (int) read(value, "status"), (byte[]) read(value, "body"), (int) read(value, "retryAfterS"));
            default -> value;
        };
    }

    private static Object read(Object record, String component) {
        return call(record.getClass(), component, record);
    }

    /** Creates a record of the version in production with the constructor that has one parameter per component. */
    private static Object createRecord(String name, Object... components) {
        try {
            return Arrays.stream(load(name).getConstructors())
                    .filter(c -> c.getParameterCount() == components.length)
                    .findFirst()
                    .orElseThrow()
                    .newInstance(components);
        } catch (ReflectiveOperationException e) {
            throw new LinkageError("cannot construct a record of the version in production", e);
        }
    }

    private static ClassLoader compileAndLoad(String commit) {
        try {
            Path root = Files.createTempDirectory("production");
            List<Path> sources = extract(commit, root.resolve("src"));
            Path classes = Files.createDirectory(root.resolve("classes"));
            compile(sources, classes);
            return new ProductionClassLoader(classes.toUri().toURL());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static List<Path> extract(String commit, Path directory) throws IOException {
        Process git = new ProcessBuilder("git", "archive", "--format=zip", commit, SOURCES)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        List<Path> sources = new ArrayList<>();
        try (InputStream archive = git.getInputStream();
                ZipInputStream zip = new ZipInputStream(archive)) {
            for (ZipEntry entry = zip.getNextEntry(); entry != null; entry = zip.getNextEntry()) {
                if (entry.getName().endsWith(".java")) {
                    Path file = directory.resolve(entry.getName());
                    Files.createDirectories(file.getParent());
                    Files.write(file, zip.readAllBytes());
                    sources.add(file);
                }
            }
        }
        if (sources.isEmpty()) {
            throw new AssertionError("the git history lacks commit " + commit + ", the version in production");
        }
        return sources;
    }

    private static void compile(List<Path> sources, Path classes) {
        String ownClassPath = System.getProperty("java.class.path");
        List<String> options = new ArrayList<>(List.of(
                "-nowarn",
                "-proc:none",
                "-cp",
                System.getProperty("surefire.test.class.path", ownClassPath),
                "-d",
                classes.toString()));
        sources.forEach(source -> options.add(source.toString()));
        int status = ToolProvider.getSystemJavaCompiler().run(null, null, null, options.toArray(new String[0]));
        if (status != 0) {
            throw new AssertionError("the version in production does not compile");
        }
    }

    /** Loads the service's classes from one directory, and leaves all other classes to the test's class loader. */
    private static final class ProductionClassLoader extends URLClassLoader {
        ProductionClassLoader(URL classes) throws MalformedURLException {
            super(new URL[] {classes}, ProductionVersion.class.getClassLoader());
        }

        @Override
        protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
            if (!name.startsWith(ROOT_PACKAGE)) {
                return super.loadClass(name, resolve);
            }
            synchronized (getClassLoadingLock(name)) {
                Class<?> loaded = findLoadedClass(name);
                return loaded == null ? findClass(name) : loaded;
            }
        }
    }
}
