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
 * The version in production, run for real: its sources are taken from the repository's history, by the commit that the
 * deploy file names, compiled against the libraries of the test, and loaded apart from the classes of this version. Its
 * interfaces to clocks and network are bridged to the simulator. A history without that commit fails the test.
 */
public final class ProductionVersion {
    private static final Path DEPLOY_FILE = Path.of("deploy", "service.toml");
    private static final Pattern COMMIT = Pattern.compile("(?m)^production = \"([0-9a-f]{40})\"$");
    private static final String SOURCES = "src/main/java";
    private static final String PACKAGE = "org.spruceridge.";
    private static final Map<String, ClassLoader> LOADED = new ConcurrentHashMap<>();

    private ProductionVersion() {}

    /** The commit that the deploy file names. */
    public static String commit() {
        try {
            Matcher line = COMMIT.matcher(Files.readString(DEPLOY_FILE));
            if (!line.find()) {
                throw new AssertionError(DEPLOY_FILE + " names no commit as production");
            }
            return line.group(1);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** A class of that version. */
    public static Class<?> load(String name) {
        try {
            return Class.forName(PACKAGE + name, true, LOADED.computeIfAbsent(commit(), ProductionVersion::build));
        } catch (ClassNotFoundException e) {
            throw new AssertionError(e);
        }
    }

    /** A node of that version. */
    static SimNode node(SimNode.Parts parts) {
        Object settings = call(load("config.Settings"), "read", null, parts.settings());
        Object policy = call(load("config.Policy"), "defaults", null);
        Class<?> loop = load("net.Loop");
        Class<?> http = load("net.HttpClient");
        Class<?> link = load("peer.PeerTransport");
        try {
            Object node = load("node.Node")
                    .getConstructor(loop, http, link, RandomGenerator.class, settings.getClass(), policy.getClass())
                    .newInstance(
                            bridge(loop, parts.loop()),
                            bridge(http, parts.http()),
                            bridge(link, parts.link()),
                            parts.random(),
                            settings,
                            policy);
            return new ProductionNode(node);
        } catch (ReflectiveOperationException e) {
            throw new AssertionError(e);
        }
    }

    private record ProductionNode(Object node) implements SimNode {
        @Override
        public void start(Runnable ready) {
            call(node.getClass(), "start", node, ready);
        }

        @Override
        public boolean leads() {
            return (boolean) call(node.getClass(), "leads", node);
        }

        @Override
        public void handle(Request request, Consumer<Response> answer) {
            Object handler = call(node.getClass(), "handler", node);
            Consumer<Object> converted = response -> answer.accept((Response) fromProduction(response));
            call(load("net.RequestHandler"), "handle", handler, toProduction(request), converted);
        }
    }

    /** Calls the public method of that name; there must be one with so many parameters. */
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

    /** An object of an interface of the production version which hands all calls on to ours of the same name. */
    private static Object bridge(Class<?> type, Object ours) {
        InvocationHandler handler = (proxy, method, arguments) -> {
            Object[] given = arguments == null ? new Object[0] : arguments;
            Object[] converted = new Object[given.length];
            for (int i = 0; i < given.length; i++) {
                converted[i] =
                        given[i] instanceof Consumer<?> ? bridged((Consumer<?>) given[i]) : fromProduction(given[i]);
            }
            Object result = call(publicInterface(ours), method.getName(), ours, converted);
            return result instanceof Cancellable ? bridge(load("net.Cancellable"), result) : result;
        };
        return Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, handler);
    }

    /** Implementations need not be public; the interface of ours that they implement is. */
    private static Class<?> publicInterface(Object ours) {
        return ours.getClass().getInterfaces()[0];
    }

    @SuppressWarnings("unchecked")
    private static Consumer<Object> bridged(Consumer<?> theirs) {
        return value -> ((Consumer<Object>) theirs).accept(toProduction(value));
    }

    private static Object toProduction(Object ours) {
        if (ours instanceof HttpAnswer answer) {
            return create("net.HttpAnswer", answer.status(), answer.body(), answer.sent());
        }
        if (ours instanceof Request request) {
            return create("net.Request", request.method(), request.path(), request.body());
        }
        return ours;
    }

    private static Object fromProduction(Object theirs) {
        if (theirs == null || theirs.getClass().getClassLoader() == ProductionVersion.class.getClassLoader()) {
            return theirs;
        }
        return switch (theirs.getClass().getName()) {
            case PACKAGE + "config.Address" -> new Address((String) get(theirs, "host"), (int) get(theirs, "port"));
            case PACKAGE + "net.HttpCall" -> new HttpCall(
                    (String) get(theirs, "method"), (String) get(theirs, "target"), (byte[]) get(theirs, "body"));
            case PACKAGE + "net.Response" -> new Response(
                    (int) get(theirs, "status"), (byte[]) get(theirs, "body"), (int) get(theirs, "retryAfterS"));
            default -> theirs;
        };
    }

    private static Object get(Object record, String component) {
        return call(record.getClass(), component, record);
    }

    /** A record of the production version by its canonical constructor. */
    private static Object create(String name, Object... components) {
        try {
            return Arrays.stream(load(name).getConstructors())
                    .filter(c -> c.getParameterCount() == components.length)
                    .findFirst()
                    .orElseThrow()
                    .newInstance(components);
        } catch (ReflectiveOperationException e) {
            throw new AssertionError(e);
        }
    }

    private static ClassLoader build(String commit) {
        try {
            Path root = Files.createTempDirectory("production");
            List<Path> sources = extract(commit, root.resolve("src"));
            Path classes = Files.createDirectory(root.resolve("classes"));
            compile(sources, classes);
            return new Apart(classes.toUri().toURL());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private static List<Path> extract(String commit, Path into) throws IOException {
        Process git = new ProcessBuilder("git", "archive", "--format=zip", commit, SOURCES)
                .redirectError(ProcessBuilder.Redirect.INHERIT)
                .start();
        List<Path> sources = new ArrayList<>();
        try (InputStream out = git.getInputStream();
                ZipInputStream zip = new ZipInputStream(out)) {
            for (ZipEntry entry = zip.getNextEntry(); entry != null; entry = zip.getNextEntry()) {
                if (entry.getName().endsWith(".java")) {
                    Path file = into.resolve(entry.getName());
                    Files.createDirectories(file.getParent());
                    Files.write(file, zip.readAllBytes());
                    sources.add(file);
                }
            }
        }
        if (sources.isEmpty()) {
            throw new AssertionError("the history does not hold " + commit + ", which is in production");
        }
        return sources;
    }

    private static void compile(List<Path> sources, Path classes) {
        String own = System.getProperty("java.class.path");
        List<String> options = new ArrayList<>(List.of(
                "-nowarn",
                "-proc:none",
                "-cp",
                System.getProperty("surefire.test.class.path", own),
                "-d",
                classes.toString()));
        sources.forEach(source -> options.add(source.toString()));
        int status = ToolProvider.getSystemJavaCompiler().run(null, null, null, options.toArray(new String[0]));
        if (status != 0) {
            throw new AssertionError("the version in production does not compile");
        }
    }

    /** Loads the service's own classes from one place, and all others like the test. */
    private static final class Apart extends URLClassLoader {
        Apart(URL classes) throws MalformedURLException {
            super(new URL[] {classes}, ProductionVersion.class.getClassLoader());
        }

        @Override
        protected Class<?> loadClass(String name, boolean resolve) throws ClassNotFoundException {
            if (!name.startsWith(PACKAGE)) {
                return super.loadClass(name, resolve);
            }
            synchronized (getClassLoadingLock(name)) {
                Class<?> loaded = findLoadedClass(name);
                return loaded == null ? findClass(name) : loaded;
            }
        }
    }
}
