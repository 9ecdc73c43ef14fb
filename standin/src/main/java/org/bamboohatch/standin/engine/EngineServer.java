package org.bamboohatch.standin.engine;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListSet;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.bamboohatch.http.BodyReader;
import org.bamboohatch.http.JsonResponse;
import org.bamboohatch.http.ResponseStream;
import org.bamboohatch.kernel.outcome.ErrorCode;
import org.bamboohatch.kernel.outcome.Refusal;
import org.bamboohatch.kernel.outcome.Result;
import org.eclipse.jetty.server.Handler;
import org.eclipse.jetty.server.Request;
import org.eclipse.jetty.server.Response;
import org.eclipse.jetty.util.Callback;

/** HTTP interface of the stand-in engine: completions, load, streams, cancellation and placement orders. */
final class EngineServer extends Handler.Abstract.NonBlocking {

    private static final long MAX_BODY_BYTES = 64L * 1024 * 1024;

    /** Number of prompt characters that count as one token. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /** Length of the answer if the request does not limit it. */
    private static final int DEFAULT_OUTPUT_TOKENS = 16;

    /** Time after which an idle engine checks for new sequences. */
    private static final long IDLE_POLL_INTERVAL_NANOS = 1_000_000;

    private static final double NANOS_PER_MS = 1e6;

    private final EngineSettings settings;

    /** Cost model; accesses are synchronized on it. */
    private final BatchModel model;

    /** Loaded models, as name@version. */
    private final ConcurrentSkipListSet<String> models = new ConcurrentSkipListSet<>();

    /** Highest fencing token received. */
    private final AtomicLong highestFence = new AtomicLong();

    /** Load that is reported to callers, which lags behind the load of the model. */
    private final AtomicReference<BatchModel.Report> reportedLoad = new AtomicReference<>();

    private final Thread stepThread = new Thread(this::runSteps, "engine-steps");

    private volatile boolean running = true;

    EngineServer(EngineSettings settings) {
        this.settings = settings;
        this.model = new BatchModel(settings);
        this.models.addAll(settings.models());
        this.reportedLoad.set(model.report());
    }

    @Override
    protected void doStart() {
        stepThread.setDaemon(true);
        stepThread.start();
    }

    @Override
    protected void doStop() {
        running = false;
    }

    @Override
    public boolean handle(Request request, Response response, Callback callback) {
        String path = Request.getPathInContext(request);
        if (path.equals("/v1/completions")) {
            BodyReader.read(request, MAX_BODY_BYTES).thenAccept(body -> complete(body, response, callback));
        } else if (path.equals("/load")) {
            JsonResponse.write(response, callback, 200, load());
        } else if (path.equals("/streams")) {
            synchronized (model) {
                JsonResponse.write(response, callback, 200, Map.of("ids", model.ids()));
            }
        } else if (path.startsWith("/cancel/")) {
            synchronized (model) {
                boolean found = model.cancel(path.substring("/cancel/".length()));
                JsonResponse.write(response, callback, found ? 200 : 404, Map.of("found", found));
            }
        } else if (path.equals("/orders")) {
            BodyReader.read(request, MAX_BODY_BYTES).thenAccept(body -> applyPlacementOrder(body, response, callback));
        } else {
            return false;
        }
        return true;
    }

    /** Returns the content of the response to a load request. */
    private Map<String, Object> load() {
        return Map.of(
                "load",
                reportedLoad.get(),
                "memory_tokens",
                settings.memoryTokens(),
                "millis_per_prompt_token",
                (settings.prefillMillisPerToken() + settings.baseStepMillis() / settings.stepTokens())
                        * settings.timeScale(),
                "models",
                List.copyOf(models));
    }

    /**
     * Starts a streamed completion.
     *
     * @param body the request body, or the refusal of one that could not be read
     * @param response the response
     * @param callback callback of the HTTP exchange
     */
    private void complete(Result<byte[], Refusal> body, Response response, Callback callback) {
        JsonNode json = parse(body);
        if (json == null || !json.path("prompt").isTextual()) {
            JsonResponse.writeRefusal(
                    response, callback, Refusal.notRun(ErrorCode.INVALID_REQUEST, "A prompt is required."));
            return;
        }
        String id = json.path("request_id").asText();
        ResponseStream stream = new ResponseStream(response, callback, () -> {
            if (settings.abortsOnDisconnect()) {
                synchronized (model) {
                    model.cancel(id);
                }
            }
        });
        Generation sequence = sequence(json, id, stream);
        boolean accepted;
        synchronized (model) {
            accepted = model.submit(sequence);
        }
        if (accepted) {
            stream.begin(200, "text/event-stream");
        } else {
            JsonResponse.writeRefusal(
                    response, callback, Refusal.notRun(ErrorCode.INVALID_REQUEST, "The request id is in use."));
        }
    }

    /**
     * Creates a sequence that sends its tokens as server-sent events.
     *
     * @param json the request
     * @param id identifier of the request
     * @param stream receives the events
     * @return the sequence
     */
    private static Generation sequence(JsonNode json, String id, ResponseStream stream) {
        String prompt = json.path("prompt").asText();
        return new Generation(
                id,
                json.path("priority").asInt(0),
                Math.max(1, prompt.length() / CHARACTERS_PER_TOKEN),
                json.path("max_tokens").asLong(DEFAULT_OUTPUT_TOKENS),
                json.path("resume_from").asLong(0),
                prompt.hashCode(),
                new Generation.TokenListener() {
                    @Override
                    public void onToken(String text) {
                        stream.sendEvent(event(text, null));
                    }

                    @Override
                    public void onEnd(String reason) {
                        stream.sendEvent(event("", reason));
                        stream.sendEvent("[DONE]");
                        stream.end();
                    }
                });
    }

    /**
     * Returns an event of a completion as JSON text.
     *
     * @param text text of the token
     * @param reason finish reason, or null while the answer is not finished
     * @return the JSON text
     */
    private static String event(String text, String reason) {
        ObjectNode event = JsonResponse.MAPPER.createObjectNode();
        ObjectNode choice = event.putArray("choices").addObject();
        choice.put("index", 0);
        choice.put("text", text);
        choice.put("finish_reason", reason);
        return event.toString();
    }

    /**
     * Loads or unloads a model. If fencing is honoured, an order with a fencing token below the highest one received is
     * answered with status 409 and not applied.
     *
     * @param body the request body, or the refusal of one that could not be read
     * @param response the response
     * @param callback callback of the HTTP exchange
     */
    private void applyPlacementOrder(Result<byte[], Refusal> body, Response response, Callback callback) {
        JsonNode json = parse(body);
        if (json == null) {
            JsonResponse.writeRefusal(
                    response, callback, Refusal.notRun(ErrorCode.INVALID_REQUEST, "JSON is required."));
            return;
        }
        long fence = json.path("fence").asLong();
        long highest = highestFence.accumulateAndGet(fence, Math::max);
        if (settings.honoursFencing() && fence < highest) {
            JsonResponse.write(response, callback, 409, Map.of("fence", highest));
            return;
        }
        String name = json.path("model").asText();
        if (json.path("action").asText().equals("LOAD")) {
            LockSupport.parkNanos((long) (settings.loadModelMillis() * settings.timeScale() * NANOS_PER_MS));
            models.add(name);
        } else {
            models.remove(name);
        }
        JsonResponse.write(response, callback, 200, Map.of("models", List.copyOf(models)));
    }

    /**
     * Parses a request body.
     *
     * @param body the body, or the refusal of one that could not be read
     * @return the JSON tree, or null if the body is malformed or could not be read
     */
    private static JsonNode parse(Result<byte[], Refusal> body) {
        if (body instanceof Result.Success<byte[], Refusal> success) {
            try {
                return JsonResponse.MAPPER.readTree(success.value());
            } catch (IOException malformed) {
                return null;
            }
        }
        return null;
    }

    /** Runs steps and updates the reported load until the engine stops. */
    private void runSteps() {
        long nextReportAt = System.nanoTime();
        while (running) {
            double millis = 0;
            synchronized (model) {
                if (model.hasWork()) {
                    millis = model.beginStep();
                }
                if (System.nanoTime() >= nextReportAt) {
                    reportedLoad.set(model.report());
                    nextReportAt = System.nanoTime() + (long) (settings.loadLagMillis() * NANOS_PER_MS);
                }
            }
            LockSupport.parkNanos(millis > 0 ? (long) (millis * NANOS_PER_MS) : IDLE_POLL_INTERVAL_NANOS);
            synchronized (model) {
                model.endStep();
            }
        }
    }
}
