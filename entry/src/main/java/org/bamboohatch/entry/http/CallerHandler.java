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
import org.bamboohatch.entry.request.CallerRequest;
import org.bamboohatch.entry.request.CallerSink;
import org.bamboohatch.entry.request.TargetCallFactory;
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

/**
 * Handles HTTP requests of callers: completions, calls of plain services and the list of models. Malformed and
 * unauthorized requests are rejected before they reach the dispatcher.
 */
@Singleton
public final class CallerHandler extends Handler.Abstract.NonBlocking {

    private static final String COMPLETIONS_PATH = "/v1/completions";

    private static final String CHAT_COMPLETIONS_PATH = "/v1/chat/completions";

    private static final String MODELS_PATH = "/v1/models";

    /** Prefix of the paths of plain services; the name of the service follows. */
    private static final String SERVICES_PREFIX = "/services/";

    /** Upper bound of the request body for all services; each service document may set a lower one. */
    private static final long MAX_BODY_BYTES = 33_554_432;

    private final ConfigurationStore configuration;

    private final Dispatcher dispatcher;

    private final EntryGate gate;

    /**
     * Creates a handler that submits admissible requests to a dispatcher.
     *
     * @param configuration provides the services and their client accounts
     * @param dispatcher receives the requests that pass all checks
     * @param gate indicates whether new requests are accepted
     */
    @Inject
    public CallerHandler(ConfigurationStore configuration, Dispatcher dispatcher, EntryGate gate) {
        this.configuration = configuration;
        this.dispatcher = dispatcher;
        this.gate = gate;
    }

    private record HttpExchange(Request request, Response response, Callback callback) {

        void refuse(Refusal refusal) {
            JsonResponse.writeRefusal(response, callback, refusal);
        }
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        HttpExchange exchange = new HttpExchange(request, response, callback);
        if (path.equals(MODELS_PATH)) {
            listModels(exchange);
        } else if (path.equals(COMPLETIONS_PATH) || path.equals(CHAT_COMPLETIONS_PATH)) {
            CompletionFormat format = path.equals(COMPLETIONS_PATH) ? CompletionFormat.TEXT : CompletionFormat.CHAT;
            readBody(exchange, body -> handleCompletion(exchange, format, body));
        } else if (path.startsWith(SERVICES_PREFIX)) {
            readBody(exchange, body -> handlePlainCall(exchange, path.substring(SERVICES_PREFIX.length()), body));
        } else {
            exchange.refuse(Refusal.notRun(ErrorCode.NOT_FOUND, "There is nothing at this path."));
        }
        return true;
    }

    private interface BodyHandler {

        /**
         * Handles a request after its body has been read.
         *
         * @param body the complete body
         * @return the error to report to the caller, or empty if the request was submitted to the dispatcher
         */
        Optional<Refusal> handle(byte[] body);
    }

    private void readBody(HttpExchange exchange, BodyHandler handler) {
        if (refuseWhileStopping(exchange)) {
            return;
        }
        CompletableFuture<Result<byte[], Refusal>> bodyFuture = BodyReader.read(exchange.request(), MAX_BODY_BYTES);
        bodyFuture.thenAccept(result -> {
            if (result instanceof Result.Failure<byte[], Refusal> failure) {
                exchange.refuse(failure.problem());
            } else if (!refuseWhileStopping(exchange)) {
                byte[] body = ((Result.Success<byte[], Refusal>) result).value();
                handler.handle(body).ifPresent(exchange::refuse);
            }
        });
    }

    /**
     * Refuses a request if the entry has begun to stop. The body of a request may have arrived after that.
     *
     * @param exchange the HTTP request and response
     * @return whether the request was refused
     */
    private boolean refuseWhileStopping(HttpExchange exchange) {
        if (gate.acceptsRequests()) {
            return false;
        }
        exchange.response().getHeaders().put(HttpHeader.CONNECTION, "close");
        exchange.refuse(
                Refusal.notRun(ErrorCode.NOT_READY, "The entry is stopping.").withRetryAfter(Duration.ofSeconds(1)));
        return true;
    }

    private void listModels(HttpExchange exchange) {
        var models = configuration.snapshot().services().values().stream()
                .flatMap(service -> service.document().models().stream())
                .map(model -> Map.of("id", model.name().value(), "object", "model"))
                .toList();
        JsonResponse.write(exchange.response(), exchange.callback(), 200, Map.of("object", "list", "data", models));
    }

    private Optional<Refusal> handleCompletion(HttpExchange exchange, CompletionFormat format, byte[] body) {
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
        return submitCompletion(
                exchange,
                ((Result.Success<CallerHeaders, Refusal>) headers).value(),
                ((Result.Success<CompletionCall, Refusal>) parsed).value(),
                body.length);
    }

    private Optional<Refusal> submitCompletion(
            HttpExchange exchange, CallerHeaders headers, CompletionCall call, long bodyBytes) {
        RoutingSnapshot snapshot = configuration.snapshot();
        Optional<ServiceConfiguration> service = snapshot.serviceForModel(call.model());
        if (service.isEmpty()) {
            return Optional.of(Refusal.notRun(ErrorCode.NOT_FOUND, "The model is not known."));
        }
        ModelSpecification model = service.get().document().model(call.model()).orElseThrow();
        if (call.promptTokens() + call.maximumOutputTokens() > model.contextTokens()) {
            return Optional.of(Refusal.notRun(
                    ErrorCode.INVALID_REQUEST,
                    "Prompt and answer are longer than the model's " + model.contextTokens() + " tokens."));
        }
        Result<AccountSpecification, Refusal> account = checkRequest(service.get(), headers, bodyBytes);
        if (account instanceof Result.Failure<AccountSpecification, Refusal> failure) {
            return Optional.of(failure.problem());
        }
        RequestId id = RequestId.random();
        WaitingRequest routingView = createRoutingView(
                id,
                ((Result.Success<AccountSpecification, Refusal>) account).value(),
                service.get(),
                headers,
                call.promptTokens(),
                call.maximumOutputTokens());
        AtomicReference<CallerRequest> requestReference = new AtomicReference<>();
        CallerRequest request = new CallerRequest(
                new CallerRequest.Description(
                        service.get().document().service(),
                        call.model(),
                        routingView,
                        call.callFactory(),
                        Optional.empty(),
                        "",
                        false,
                        ((Result.Success<AccountSpecification, Refusal>) account)
                                .value()
                                .maximumQueued()),
                createSink(exchange, call, id, () -> dispatcher.callerDisconnected(requestReference.get())));
        requestReference.set(request);
        dispatcher.submit(request);
        return Optional.empty();
    }

    private static CallerSink createSink(
            HttpExchange exchange, CompletionCall call, RequestId id, Runnable onDisconnect) {
        CallerSinks.CompletionContext context =
                new CallerSinks.CompletionContext(id.value(), call.model().value(), call.format(), call.promptTokens());
        return call.streamed()
                ? new CallerSinks.ForStreamingCompletion(
                        context, exchange.response(), exchange.callback(), onDisconnect)
                : new CallerSinks.ForBufferedCompletion(context, exchange.response(), exchange.callback());
    }

    /**
     * Handles a call of a plain service.
     *
     * @param exchange the HTTP request and response
     * @param serviceAndPath name of the service, followed by the path that is passed on to the target
     * @param body the complete body
     * @return the error to report to the caller, or empty if the request was submitted to the dispatcher
     */
    private Optional<Refusal> handlePlainCall(HttpExchange exchange, String serviceAndPath, byte[] body) {
        Result<CallerHeaders, Refusal> parsed =
                CallerHeaders.read(exchange.request().getHeaders());
        if (parsed instanceof Result.Failure<CallerHeaders, Refusal> failure) {
            return Optional.of(failure.problem());
        }
        CallerHeaders headers = ((Result.Success<CallerHeaders, Refusal>) parsed).value();
        int slash = serviceAndPath.indexOf('/');
        String name = slash < 0 ? serviceAndPath : serviceAndPath.substring(0, slash);
        String path = slash < 0 ? "/" : serviceAndPath.substring(slash);
        ServiceConfiguration service = name.matches("[A-Za-z0-9][A-Za-z0-9._-]*")
                ? configuration.snapshot().services().get(new ServiceName(name))
                : null;
        if (service == null || service.document().kind() != ServiceKind.PLAIN) {
            return Optional.of(Refusal.notRun(ErrorCode.NOT_FOUND, "The service is not known."));
        }
        Result<AccountSpecification, Refusal> account = checkRequest(service, headers, body.length);
        if (account instanceof Result.Failure<AccountSpecification, Refusal> failure) {
            return Optional.of(failure.problem());
        }
        submitPlainCall(
                exchange,
                service,
                ((Result.Success<AccountSpecification, Refusal>) account).value(),
                headers,
                path,
                body);
        return Optional.empty();
    }

    private void submitPlainCall(
            HttpExchange exchange,
            ServiceConfiguration service,
            AccountSpecification account,
            CallerHeaders headers,
            String path,
            byte[] body) {
        String method = exchange.request().getMethod();
        String query = exchange.request().getHttpURI().getQuery();
        String pathAndQuery = query == null ? path : path + "?" + query;
        String contentType = Optional.ofNullable(exchange.request().getHeaders().get(HttpHeader.CONTENT_TYPE))
                .orElse(JsonResponse.JSON);
        boolean idempotent = service.document().isRepeatable(method, path);
        RequestId id = RequestId.random();
        Optional<RunKey> runKey = idempotent
                ? Optional.empty()
                : Optional.of(
                        new RunKey(account.name(), headers.idempotencyKey().orElse("made:" + id)));
        TargetCallFactory callFactory =
                (attempt, priority, resumeFrom) -> new TargetCall(method, pathAndQuery, contentType, body);
        String bodyHash =
                Sha256.hash(concat((method + " " + pathAndQuery + "\n").getBytes(StandardCharsets.UTF_8), body));
        dispatcher.submit(new CallerRequest(
                new CallerRequest.Description(
                        service.document().service(),
                        null,
                        createRoutingView(id, account, service, headers, 1, 0),
                        callFactory,
                        runKey,
                        bodyHash,
                        headers.idempotencyKey().isPresent(),
                        account.maximumQueued()),
                new CallerSinks.ForBufferedPlainCall(exchange.response(), exchange.callback())));
    }

    /**
     * Checks the body size, the freshness of the configuration and the API key.
     *
     * @param service configuration of the requested service
     * @param headers the parsed headers of the request
     * @param bodyBytes length of the body
     * @return the client account of the API key, or the error to report to the caller
     */
    private Result<AccountSpecification, Refusal> checkRequest(
            ServiceConfiguration service, CallerHeaders headers, long bodyBytes) {
        if (bodyBytes > service.document().maximumBodyBytes()) {
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

    private static WaitingRequest createRoutingView(
            RequestId id,
            AccountSpecification account,
            ServiceConfiguration service,
            CallerHeaders headers,
            long promptTokens,
            long maximumOutputTokens) {
        long now = ConfigurationStore.now();
        return new WaitingRequest(
                id,
                account.name(),
                account.weight(),
                LengthClass.of(promptTokens),
                promptTokens,
                maximumOutputTokens,
                now,
                now + headers.timeoutMillis(service.document().deadlines()));
    }

    private static byte[] concat(byte[] left, byte[] right) {
        byte[] joined = java.util.Arrays.copyOf(left, left.length + right.length);
        System.arraycopy(right, 0, joined, left.length, right.length);
        return joined;
    }
}
