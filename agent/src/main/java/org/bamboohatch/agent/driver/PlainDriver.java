package org.bamboohatch.agent.driver;

import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.bamboohatch.protocol.message.AgentRequest.Dispatch;
import org.bamboohatch.protocol.message.ControlReply.PlacementOrder;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;

/** Driver for plain HTTP services. */
public final class PlainDriver implements TargetDriver {

    /** Maximum length of an answer, in bytes. */
    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;

    private static final String HEALTH_PATH = "/healthz";

    /** Media type of an answer that names none. */
    private static final String UNKNOWN_TYPE = "application/octet-stream";

    /** Creates a driver; invoked by the service loader. */
    public PlainDriver() {}

    @Override
    public String name() {
        return "plain";
    }

    @Override
    public Target connect(HttpClient client, String targetUrl) {
        return new ForService(new HttpCalls(client, targetUrl));
    }

    /** A plain service. */
    private static final class ForService implements Target {

        private final HttpCalls calls;

        ForService(HttpCalls calls) {
            this.calls = calls;
        }

        @Override
        public void run(Dispatch dispatch, RunListener listener) {
            calls.newRequest(dispatch).send(new BufferingResponseListener(MAX_ANSWER_BYTES) {
                @Override
                public void onComplete(Result result) {
                    if (result.isFailed()) {
                        listener.onFailure(
                                HttpCalls.mayHaveStarted(result),
                                "service connection failed: "
                                        + result.getFailure().getMessage());
                    } else if (HttpCalls.showsItsEnd(result)) {
                        deliver(result);
                    } else {
                        // A process that has ended closes its connections like one that has sent everything.
                        calls.hasEnded(HEALTH_PATH).thenAccept(ended -> {
                            if (ended) {
                                listener.onFailure(true, "service ended, its response may be incomplete");
                            } else {
                                deliver(result);
                            }
                        });
                    }
                }

                private void deliver(Result result) {
                    listener.onData(getContent(), 0);
                    String type = result.getResponse().getHeaders().get(HttpHeader.CONTENT_TYPE);
                    listener.onEnd(result.getResponse().getStatus(), type == null ? UNKNOWN_TYPE : type, "");
                }
            });
        }

        @Override
        public void cancel(String id) {
            // Plain services have no means to cancel a call.
        }

        @Override
        public CompletableFuture<TargetState> state() {
            return calls.get(HEALTH_PATH).thenApply(alive -> new TargetState(List.of(), 0, List.of()));
        }

        @Override
        public CompletableFuture<Void> executeOrder(PlacementOrder order, long fence) {
            return CompletableFuture.completedFuture(null);
        }
    }
}
