package org.knapweedhatch.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.util.List;
import java.util.Optional;
import org.knapweedhatch.clock.Waiter;
import org.knapweedhatch.fault.Fault;
import org.knapweedhatch.fault.Result;
import org.knapweedhatch.fault.Step;
import org.knapweedhatch.http.HttpAnswer;
import org.knapweedhatch.http.HttpCall;
import org.knapweedhatch.http.HttpCaller;
import org.knapweedhatch.ini.FileFault;
import org.knapweedhatch.platform.ListedHost;
import org.knapweedhatch.platform.ObjectApi;
import org.knapweedhatch.platform.store.HttpPlatform;
import org.knapweedhatch.release.ReleaseStore;
import org.knapweedhatch.world.Address;

/** One run of the tool: where it prints, and how it reaches the platform and the hosts. */
public final class Session implements AutoCloseable {

    private static final ObjectMapper JSON = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);

    private final CliSettings settings;
    private final boolean json;
    private final PrintStream out;
    private final PrintStream err;
    private Optional<HttpCaller> caller = Optional.empty();

    Session(CliSettings settings, boolean json, PrintStream out, PrintStream err) {
        this.settings = settings;
        this.json = json;
        this.out = out;
        this.err = err;
    }

    /** Prints a report: as JSON where that was asked for, else as lines. */
    public void print(Object report, List<String> lines) {
        if (!json) {
            lines.forEach(out::println);
            return;
        }
        try {
            out.println(JSON.writeValueAsString(report));
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a record of plain fields is written", e);
        }
    }

    /** Prints a sentence to the error output. */
    public void complain(String sentence) {
        err.println(sentence);
    }

    /** A refused note or file as JSON. */
    record Refused(List<FileFault> faults) {}

    /** Reports faults of a file, each on its own line, and returns the exit code for it. */
    public ExitCode refuse(List<FileFault> faults) {
        if (json) {
            print(new Refused(faults), List.of());
        }
        faults.forEach(fault -> err.println(fault));
        return ExitCode.FAILED;
    }

    /** Reports that the platform or a host could not be used, and returns the exit code for it. */
    public ExitCode unreachable(Fault fault) {
        err.println(fault);
        return ExitCode.UNREACHABLE;
    }

    /** Returns the platform, or a fault where no address is set. */
    public Result<ObjectApi> platform() {
        if (settings.platform().isEmpty()) {
            return Result.failed(Step.SETTINGS, "", "no platform is set; use --platform or a settings file");
        }
        URI base = URI.create("http://" + settings.platform().get());
        return Result.ok(HttpPlatform.create(caller(), base, settings.token()));
    }

    /** Returns the releases in the platform. */
    public Result<ReleaseStore> releases() {
        return platform().then(api -> Result.ok(ReleaseStore.over(api, Waiter.blocking())));
    }

    /** Returns the edge addresses of the hosts to ask: those set, else those of the platform's host list. */
    public Result<List<Address>> hosts() {
        if (!settings.hosts().isEmpty()) {
            return Result.ok(settings.hosts());
        }
        return platform()
                .then(ObjectApi::hosts)
                .then(listed -> Result.ok(
                        listed.stream().map(ListedHost::host).map(h -> h.edge()).toList()));
    }

    /** Returns the JSON document at a path of a host, such as {@code /-/status}. */
    public Result<JsonNode> ask(Address host, String path) {
        URI uri = URI.create("http://" + host + path);
        return caller().call(HttpCall.get(uri)).then(answer -> parse(host, answer));
    }

    private static Result<JsonNode> parse(Address host, HttpAnswer answer) {
        if (!answer.isSuccess()) {
            return Result.failed(Step.RECEIVE, host.toString(), "status " + answer.status());
        }
        try {
            return Result.ok(JSON.readTree(answer.body()));
        } catch (IOException e) {
            return Result.failed(Step.RECEIVE, host.toString(), "the answer is no JSON");
        }
    }

    /** Returns the HTTP caller; commands that read files only never start its threads. */
    private HttpCaller caller() {
        if (caller.isEmpty()) {
            caller = Optional.of(HttpCaller.create());
        }
        return caller.get();
    }

    @Override
    public void close() {
        caller.ifPresent(HttpCaller::close);
    }
}
