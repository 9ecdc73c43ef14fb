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

/** HTTP side of the stand-in engine: completions, load, streams, cancel, models and orders. */
final class EngineServer extends Handler.Abstract.NonBlocking {

    /** The largest request body, in bytes. */
    private static final long MAX_BODY_BYTES = 64L * 1024 * 1024;

    /** Characters of a prompt that count as one token. */
    private static final int CHARACTERS_PER_TOKEN = 4;

    /** Tokens of an answer if the request names none. */
    private static final int DEFAULT_OUTPUT_TOKENS = 16;

    /** Pause of an idle engine, in nanoseconds. */
    private static final long IDLE_PAUSE_NANOS = 1_000_000;

    /** Nanoseconds in a millisecond. */
    private static final double NANOS_PER_MS = 1e6;

    /** The settings. */
    private final EngineSettings settings;

    /** The cost model, guarded by itself. */
    private final BatchModel model;

    /** The loaded models, as name@version. */
    private final ConcurrentSkipListSet<String> models = new ConcurrentSkipListSet<>();

    /** The largest fencing number seen. */
    private final AtomicLong fence = new AtomicLong();

    /** The load that is reported, with a lag. */
    private final AtomicReference<BatchModel.Report> reported = new AtomicReference<>();

    /** Runs the steps. */
    private final Thread stepper = new Thread(this::run, "engine-steps");

    /** Whether the steps go on. */
    private volatile boolean running = true;

    /**
     * Creates an engine.
     *
     * @param settings the settings
     */
    EngineServer(EngineSettings settings) {
        this.settings = settings;
        this.model = new BatchModel(settings);
        this.models.addAll(settings.models());
        this.reported.set(model.report());
    }

    @Override
    protected void doStart() {
        stepper.setDaemon(true);
        stepper.start();
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
            BodyReader.read(request, MAX_BODY_BYTES).thenAccept(body -> order(body, response, callback));
        } else {
            return false;
        }
        return true;
    }

    /**
     * Returns the load as JSON.
     *
     * @return the load
     */
    private Map<String, Object> load() {
        return Map.of(
                "load",
                reported.get(),
                "memory_tokens",
                settings.memoryTokens(),
                "millis_per_prompt_token",
                (settings.prefillMillisPerToken() + settings.baseStepMillis() / settings.stepTokens())
                        * settings.timeScale(),
                "models",
                List.copyOf(models));
    }

    /**
     * Starts a completion.
     *
     * @param body the request body
     * @param response the response
     * @param callback completes the exchange
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
     * Makes a sequence that writes server-sent events.
     *
     * @param json the request
     * @param id identifier of the request
     * @param stream takes the events
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
     * Renders one event of a completion.
     *
     * @param text the text of the token
     * @param reason why the answer ended, or null
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
     * Carries out an order to load or unload a model.
     *
     * @param body the request body
     * @param response the response
     * @param callback completes the exchange
     */
    private void order(Result<byte[], Refusal> body, Response response, Callback callback) {
        JsonNode json = parse(body);
        if (json == null) {
            JsonResponse.writeRefusal(
                    response, callback, Refusal.notRun(ErrorCode.INVALID_REQUEST, "JSON is required."));
            return;
        }
        long number = json.path("fence").asLong();
        long newest = fence.accumulateAndGet(number, Math::max);
        if (settings.honoursFencing() && number < newest) {
            JsonResponse.write(response, callback, 409, Map.of("fence", newest));
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
     * Parses a body.
     *
     * @param body the body
     * @return the JSON tree, or null if it is malformed
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

    /** Runs steps until the engine stops. */
    private void run() {
        long nextReport = System.nanoTime();
        while (running) {
            double millis = 0;
            synchronized (model) {
                if (model.hasWork()) {
                    millis = model.beginStep();
                }
                if (System.nanoTime() >= nextReport) {
                    reported.set(model.report());
                    nextReport = System.nanoTime() + (long) (settings.loadLagMillis() * NANOS_PER_MS);
                }
            }
            LockSupport.parkNanos(millis > 0 ? (long) (millis * NANOS_PER_MS) : IDLE_PAUSE_NANOS);
            synchronized (model) {
                model.endStep();
            }
        }
    }
}
