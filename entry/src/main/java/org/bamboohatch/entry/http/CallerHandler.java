package org.bamboohatch.entry.http;

import javax.inject.Inject;
import javax.inject.Singleton;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicReference;

import org.bamboohatch.document.AccountSpecification;
import org.bamboohatch.document.ModelSpecification;
import org.bamboohatch.document.ServiceKind;
import org.bamboohatch.document.Sha256;
import org.bamboohatch.entry.configuration.ConfigurationStore;
import org.bamboohatch.entry.configuration.RoutingSnapshot;
import org.bamboohatch.entry.configuration.ServiceConfiguration;
import org.bamboohatch.entry.dispatch.Dispatcher;
import org.bamboohatch.entry.request.CallTemplate;
import org.bamboohatch.entry.request.CallerRequest;
import org.bamboohatch.entry.request.CallerSink;
import org.bamboohatch.http.BodyReader;
import org.bamboohatch.http.JsonResponse;
import org.bamboohatch.kernel.id.RequestId;
import org.bamboohatch.kernel.id.RunKey;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.outcome.ErrorCode;
import org.bamboohatch.kernel.outcome.Refusal;
import org.bamboohatch.kernel.outcome.Result;
import org.bamboohatch.protocol.message.TargetCall;
import org.bamboohatch.routing.LengthClass;
import org.bamboohatch.routing.WaitingRequest;
import org.eclipse.jetty.http.HttpHeader;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** Takes the callers' requests; what is malformed or not allowed is refused before anything is admitted. */
@Singleton
public final class CallerHandler extends Handler.Abstract.NonBlocking {

    /** Path of completions. */
    private static final String COMPLETIONS = "/v1/completions";

    /** Path of chat completions. */
    private static final String CHAT_COMPLETIONS = "/v1/chat/completions";

    /** Path of the list of models. */
    private static final String MODELS = "/v1/models";

    /** Beginning of the paths of plain services. */
    private static final String SERVICES = "/services/";

    /** The largest body of any service, in bytes. */
    private static final long MAX_BODY_BYTES = 33_554_432;

    /** The configuration. */
    private final ConfigurationStore configuration;

    /** Takes admitted requests. */
    private final Dispatcher dispatcher;

    /** Lets requests in. */
    private final EntryGate gate;

    /**
     * Creates a handler.
     *
     * @param configuration the configuration
     * @param dispatcher takes admitted requests
     * @param gate lets requests in
     */
    @Inject
    public CallerHandler(ConfigurationStore configuration, Dispatcher dispatcher, EntryGate gate) {
        this.configuration = configuration;
        this.dispatcher = dispatcher;
        this.gate = gate;
    }

    /**
     * One exchange with a caller.
     *
     * @param request the request
     * @param response the response
     * @param callback completes the exchange
     */
    private record Exchange(Request request, Response response, Callback callback) {

        /**
         * Refuses the request.
         *
         * @param refusal the error
         */
        void refuse(Refusal refusal) {
            JsonResponse.refuse(response, callback, refusal);
        }
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        Exchange exchange = new Exchange(request, response, callback);
        if (path.equals(MODELS)) {
            listModels(exchange);
        } else if (path.equals(COMPLETIONS) || path.equals(CHAT_COMPLETIONS)) {
            CompletionFormat format = path.equals(COMPLETIONS) ? CompletionFormat.TEXT : CompletionFormat.CHAT;
            withBody(exchange, body -> complete(exchange, format, body));
        } else if (path.startsWith(SERVICES)) {
            withBody(exchange, body -> call(exchange, path.substring(SERVICES.length()), body));
        } else {
            exchange.refuse(Refusal.notRun(ErrorCode.NOT_FOUND, "There is nothing at this path."));
        }
        return true;
    }

    /** Handles a request whose body has been read; a returned error is told to the caller. */
    private interface BodyHandler {

        /**
         * Handles the request.
         *
         * @param body the body
         * @return an error, or nothing if the request was taken
         */
        Optional<Refusal> handle(byte[] body);
    }

    /**
     * Reads the body and handles the request.
     *
     * @param exchange the exchange
     * @param handler handles the request
     */
    private void withBody(Exchange exchange, BodyHandler handler) {
        if (!gate.letsIn()) {
            exchange.response().getHeaders().put(HttpHeader.CONNECTION, "close");
            exchange.refuse(Refusal.notRun(ErrorCode.NOT_READY, "The entry is stopping.")
                    .withRetryAfter(Duration.ofSeconds(1)));
            return;
        }
        CompletableFuture<Result<byte[], Refusal>> reading = BodyReader.read(exchange.request(), MAX_BODY_BYTES);
        reading.thenAccept(result -> {
            if (result instanceof Result.Failure<byte[], Refusal> failure) {
                exchange.refuse(failure.problem());
            } else {
                byte[] body = ((Result.Success<byte[], Refusal>) result).value();
                handler.handle(body).ifPresent(exchange::refuse);
            }
        });
    }

    /**
     * Lists the models.
     *
     * @param exchange the exchange
     */
    private void listModels(Exchange exchange) {
        var models = configuration.snapshot().services().values().stream()
                .flatMap(service -> service.document().models().stream())
                .map(model -> Map.of("id", model.name().value(), "object", "model"))
                .toList();
        JsonResponse.write(exchange.response(), exchange.callback(), 200, Map.of("object", "list", "data", models));
    }

    /**
     * Takes a completion.
     *
     * @param exchange the exchange
     * @param format the form of the request
     * @param body the body
     * @return an error, or nothing if the request was taken
     */
    private Optional<Refusal> complete(Exchange exchange, CompletionFormat format, byte[] body) {
        if (!exchange.request().getMethod().equals("POST")) {
            return Optional.of(Refusal.notRun(ErrorCode.METHOD_NOT_ALLOWED, "Completions are posted."));
        }
        Result<CallerHeaders, Refusal> headers =
                CallerHeaders.read(exchange.request().getHeaders());
        if (headers instanceof Result.Failure<CallerHeaders, Refusal> failure) {
            return Optional.of(failure.problem());
        }
        Result<CompletionCall, Refusal> parsed = CompletionCall.parse(body, format);
        if (parsed instanceof Result.Failure<CompletionCall, Refusal> failure) {
            return Optional.of(failure.problem());
        }
        return admit(
                exchange,
                ((Result.Success<CallerHeaders, Refusal>) headers).value(),
                ((Result.Success<CompletionCall, Refusal>) parsed).value(),
                body.length);
    }

    /**
     * Admits a completion.
     *
     * @param exchange the exchange
     * @param headers the headers
     * @param call the call
     * @param bodyLength length of the body, in bytes
     * @return an error, or nothing if the request was taken
     */
    private Optional<Refusal> admit(Exchange exchange, CallerHeaders headers, CompletionCall call, long bodyLength) {
        RoutingSnapshot snapshot = configuration.snapshot();
        Optional<ServiceConfiguration> service = snapshot.serviceOf(call.model());
        if (service.isEmpty()) {
            return Optional.of(Refusal.notRun(ErrorCode.NOT_FOUND, "The model is not known."));
        }
        ModelSpecification model = service.get().document().model(call.model()).orElseThrow();
        if (call.promptTokens() + call.outputTokens() > model.contextTokens()) {
            return Optional.of(Refusal.notRun(
                    ErrorCode.INVALID_REQUEST,
                    "Prompt and answer are longer than the model's " + model.contextTokens() + " tokens."));
        }
        Result<AccountSpecification, Refusal> account = check(service.get(), headers, bodyLength);
        if (account instanceof Result.Failure<AccountSpecification, Refusal> failure) {
            return Optional.of(failure.problem());
        }
        RequestId id = RequestId.random();
        WaitingRequest waiting = waiting(
                id,
                ((Result.Success<AccountSpecification, Refusal>) account).value(),
                service.get(),
                headers,
                call.promptTokens(),
                call.outputTokens());
        AtomicReference<CallerRequest> holder = new AtomicReference<>();
        CallerRequest request = new CallerRequest(
                new CallerRequest.Description(
                        service.get().document().service(),
                        call.model(),
                        waiting,
                        call.template(),
                        Optional.empty(),
                        "",
                        false,
                        ((Result.Success<AccountSpecification, Refusal>) account)
                                .value()
                                .maximumQueued()),
                sink(exchange, call, id, () -> dispatcher.callerGone(holder.get())));
        holder.set(request);
        dispatcher.submit(request);
        return Optional.empty();
    }

    /**
     * Makes the sink of a completion.
     *
     * @param exchange the exchange
     * @param call the call
     * @param id identifier of the request
     * @param onGone called once if the caller has gone away
     * @return the sink
     */
    private static CallerSink sink(Exchange exchange, CompletionCall call, RequestId id, Runnable onGone) {
        CallerSinks.Completion completion =
                new CallerSinks.Completion(id.value(), call.model().value(), call.format(), call.promptTokens());
        return call.streamed()
                ? new CallerSinks.ForStreamedCompletion(completion, exchange.response(), exchange.callback(), onGone)
                : new CallerSinks.ForWholeCompletion(completion, exchange.response(), exchange.callback());
    }

    /**
     * Takes a call of a plain service.
     *
     * @param exchange the exchange
     * @param rest the path after the common beginning
     * @param body the body
     * @return an error, or nothing if the request was taken
     */
    private Optional<Refusal> call(Exchange exchange, String rest, byte[] body) {
        Result<CallerHeaders, Refusal> read =
                CallerHeaders.read(exchange.request().getHeaders());
        if (read instanceof Result.Failure<CallerHeaders, Refusal> failure) {
            return Optional.of(failure.problem());
        }
        CallerHeaders headers = ((Result.Success<CallerHeaders, Refusal>) read).value();
        int slash = rest.indexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        ServiceConfiguration service = name.matches("[A-Za-z0-9][A-Za-z0-9._-]*")
                ? configuration.snapshot().services().get(new ServiceName(name))
                : null;
        if (service == null || service.document().kind() != ServiceKind.PLAIN) {
            return Optional.of(Refusal.notRun(ErrorCode.NOT_FOUND, "The service is not known."));
        }
        Result<AccountSpecification, Refusal> account = check(service, headers, body.length);
        if (account instanceof Result.Failure<AccountSpecification, Refusal> failure) {
            return Optional.of(failure.problem());
        }
        submitCall(
                exchange,
                service,
                ((Result.Success<AccountSpecification, Refusal>) account).value(),
                headers,
                path,
                body);
        return Optional.empty();
    }

    /**
     * Submits a call of a plain service.
     *
     * @param exchange the exchange
     * @param service the service
     * @param account the client account
     * @param headers the headers
     * @param path the path below the service
     * @param body the body
     */
    private void submitCall(
            Exchange exchange,
            ServiceConfiguration service,
            AccountSpecification account,
            CallerHeaders headers,
            String path,
            byte[] body) {
        String method = exchange.request().getMethod();
        String query = exchange.request().getHttpURI().getQuery();
        String target = query == null ? path : path + "?" + query;
        String type = Optional.ofNullable(exchange.request().getHeaders().get(HttpHeader.CONTENT_TYPE))
                .orElse(JsonResponse.JSON);
        boolean repeatable = service.document().isRepeatable(method, path);
        RequestId id = RequestId.random();
        Optional<RunKey> claim = repeatable
                ? Optional.empty()
                : Optional.of(
                        new RunKey(account.name(), headers.idempotencyKey().orElse("made:" + id)));
        CallTemplate template = (attempt, priority, resumeFrom) -> new TargetCall(method, target, type, body);
        String hash = Sha256.hash(concat((method + " " + target + "\n").getBytes(StandardCharsets.UTF_8), body));
        dispatcher.submit(new CallerRequest(
                new CallerRequest.Description(
                        service.document().service(),
                        null,
                        waiting(id, account, service, headers, 1, 0),
                        template,
                        claim,
                        hash,
                        headers.idempotencyKey().isPresent(),
                        account.maximumQueued()),
                new CallerSinks.ForPlainCall(exchange.response(), exchange.callback())));
    }

    /**
     * Checks what every request must fulfil and finds its account.
     *
     * @param service the service
     * @param headers the headers
     * @param bodyLength length of the body, in bytes
     * @return the account, or why the request is refused
     */
    private Result<AccountSpecification, Refusal> check(
            ServiceConfiguration service, CallerHeaders headers, long bodyLength) {
        if (bodyLength > service.document().maximumBodyBytes()) {
            return Result.failure(Refusal.notRun(
                    ErrorCode.TOO_LARGE,
                    "The request body is over the service's bound of "
                            + service.document().maximumBodyBytes() + " bytes."));
        }
        boolean fresh = configuration.snapshot().isFresh(ConfigurationStore.now());
        if (!fresh && !service.document().staleness().admitsWhenStale()) {
            return Result.failure(
                    Refusal.notRun(ErrorCode.NOT_READY, "The entry cannot show that its configuration is fresh.")
                            .withRetryAfter(Duration.ofSeconds(1)));
        }
        return headers.account(service);
    }

    /**
     * Describes a request for the routing decisions.
     *
     * @param id the request
     * @param account the client account
     * @param service the service
     * @param headers the headers
     * @param promptTokens length of the prompt, in tokens
     * @param outputTokens longest answer, in tokens
     * @return the description
     */
    private static WaitingRequest waiting(
            RequestId id,
            AccountSpecification account,
            ServiceConfiguration service,
            CallerHeaders headers,
            long promptTokens,
            long outputTokens) {
        long now = ConfigurationStore.now();
        return new WaitingRequest(
                id,
                account.name(),
                account.weight(),
                LengthClass.of(promptTokens),
                promptTokens,
                outputTokens,
                now,
                now + headers.timeoutMillis(service.document().deadlines()));
    }

    /**
     * Joins two arrays.
     *
     * @param left the first
     * @param right the second
     * @return both
     */
    private static byte[] concat(byte[] left, byte[] right) {
        byte[] joined = java.util.Arrays.copyOf(left, left.length + right.length);
        System.arraycopy(right, 0, joined, left.length, right.length);
        return joined;
    }
}
