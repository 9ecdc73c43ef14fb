package org.bamboohatch.agent.driver;

import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;

import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.kernel.id.ModelName;
import org.bamboohatch.kernel.id.RequestId;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.protocol.message.AgentRequest.Dispatch;
import org.bamboohatch.protocol.message.TargetCall;

/** The output, the status and the media type of a run, or that it failed. */
final class RecordedRun implements RunListener {

    private final StringBuilder text = new StringBuilder();

    private final CompletableFuture<String> end = new CompletableFuture<>();

    /** Returns a request that any driver can run. */
    static Dispatch dispatch() {
        return new Dispatch(
                new RequestId("r"),
                new AttemptId("a"),
                new ServiceName("s"),
                new ModelName("m"),
                0,
                8_000,
                0,
                1,
                2,
                0,
                null,
                new TargetCall("GET", "/x", "text/plain", new byte[0]));
    }

    @Override
    public synchronized void onData(byte[] data, int tokens) {
        text.append(new String(data, StandardCharsets.UTF_8));
    }

    @Override
    public void onEnd(int status, String contentType, String finishReason) {
        end.complete(status + " " + contentType);
    }

    @Override
    public void onFailure(boolean started, String sentence) {
        end.complete("failed");
    }

    synchronized String text() {
        return text.toString();
    }

    String awaitEnd() throws Exception {
        return end.get(20, TimeUnit.SECONDS) + " " + text();
    }
}
