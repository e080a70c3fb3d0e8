package org.knapweedhatch.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;
import org.knapweedhatch.platform.StoredObject;
import org.knapweedhatch.platform.wire.OperatorConfiguration;
import org.knapweedhatch.world.Access;
import org.knapweedhatch.world.Configuration;
import org.knapweedhatch.world.Route;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;

/**
 * Tells which route of the operator's configuration a request takes, and which others match it.
 *
 * <pre>{@code
 * knapweedhatch route orders.example /a/17 --configuration main.json
 * }</pre>
 */
final class RouteCommand implements Command {

    @Argument(index = 0, metaVar = "HOST", required = true, usage = "host name of the request, without a port")
    private String host;

    @Argument(index = 1, metaVar = "PATH", required = true, usage = "path of the request, without a query")
    private String path;

    @Option(
            name = "--configuration",
            metaVar = "FILE",
            usage = "file with the configuration, as it lies in the platform's store; else the store is read")
    private String file = "";

    @Override
    public String name() {
        return "route";
    }

    @Override
    public String summary() {
        return "Tells which route a request takes, and which others match it.";
    }

    @Override
    public ExitCode run(Session session) {
        Result<StoredObject> object = file.isEmpty() ? stored(session) : read();
        if (!object.isOk()) {
            return session.unreachable(object.fault());
        }
        Result<Configuration> decoded = OperatorConfiguration.decode(object.orThrow(), Map.of());
        if (!decoded.isOk()) {
            session.complain((file.isEmpty() ? OperatorConfiguration.NAME : file) + ": "
                    + decoded.fault().message());
            return ExitCode.USAGE;
        }
        return report(session, decoded.orThrow());
    }

    private static Result<StoredObject> stored(Session session) {
        return session.platform().then(platform -> platform.read(OperatorConfiguration.NAME));
    }

    private Result<StoredObject> read() {
        try {
            return Result.ok(new StoredObject(OperatorConfiguration.NAME, 1, Files.readAllBytes(Path.of(file))));
        } catch (IOException | InvalidPathException e) {
            return Result.failed(
                    Step.SETTINGS, file, "cannot be read: " + e.getClass().getSimpleName());
        }
    }

    private ExitCode report(Session session, Configuration configuration) {
        List<Route> matches = configuration.matchingRoutes(host.toLowerCase(Locale.ROOT), path);
        if (matches.isEmpty()) {
            session.complain("no route of configuration " + configuration.number() + " matches " + host + " " + path
                    + "; the request is refused with 404");
            return ExitCode.FAILED;
        }
        List<String> lines = new ArrayList<>();
        lines.add("configuration " + configuration.number() + ", "
                + configuration.routes().size() + " routes");
        lines.add("taken: " + describe(matches.get(0)));
        matches.stream().skip(1).forEach(route -> lines.add("shorter: " + describe(route)));
        session.print(
                Map.of(
                        "configuration",
                        configuration.number(),
                        "matches",
                        matches.stream().map(RouteCommand::fields).toList()),
                lines);
        return ExitCode.OK;
    }

    private static Map<String, Object> fields(Route route) {
        return Map.of(
                "name", route.name(),
                "host", route.host(),
                "path", route.path(),
                "destinations", destinations(route),
                "kind", route.policy().kind().name(),
                "open", route.access() == Access.OPEN,
                "timeoutMs", route.policy().timeout().toMillis(),
                "regions", route.regions());
    }

    private static Map<String, Double> destinations(Route route) {
        return route.destinations().stream()
                .collect(Collectors.toMap(
                        destination -> destination.service(), destination -> destination.weight(), Double::sum));
    }

    private static String describe(Route route) {
        return route.name() + " (" + (route.host().isEmpty() ? "any host" : route.host()) + route.path() + ") -> "
                + destinations(route) + ", " + route.policy().kind() + ", "
                + (route.access() == Access.OPEN ? "no key" : "key") + ", "
                + route.policy().timeout().toMillis() + " ms"
                + (route.regions().isEmpty() ? "" : ", only in " + route.regions());
    }
}
