package org.bamboohatch.agent.driver;

import java.net.SocketAddress;
import java.util.List;
import java.util.concurrent.CompletableFuture;

import org.bamboohatch.protocol.message.AgentRequest.Dispatch;
import org.bamboohatch.protocol.message.ControlReply.PlacementOrder;
import org.eclipse.jetty.client.BufferingResponseListener;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.Response;
import org.eclipse.jetty.client.Result;
import org.eclipse.jetty.http.HttpHeader;

/** Driver for plain HTTP services. */
public final class PlainDriver implements TargetDriver {

    /** Maximum length of an answer, in bytes. */
    private static final int MAX_ANSWER_BYTES = 16 * 1024 * 1024;

    private static final String HEALTH_PATH = "/healthz";

    /** Media type of an answer that names none. */
    private static final String UNKNOWN_TYPE = "application/octet-stream";

    private final long settlingMillis;

    /** Creates a driver; invoked by the service loader. */
    public PlainDriver() {
        this(TargetProbe.ForConnections.SETTLING_MS);
    }

    /**
     * Creates a driver with another settling time.
     *
     * @param settlingMillis time for which a connection must stay open before it shows that a service runs, in milliseconds
     */
    PlainDriver(long settlingMillis) {
        this.settlingMillis = settlingMillis;
    }

    @Override
    public String name() {
        return "plain";
    }

    @Override
    public Target connect(HttpClient client, String targetUrl) {
        return new ForService(new HttpCalls(client, targetUrl), new TargetProbe.ForConnections(client, settlingMillis));
    }

    /** A plain service. */
    private static final class ForService implements Target {

        private final HttpCalls calls;

        private final TargetProbe probe;

        ForService(HttpCalls calls, TargetProbe probe) {
            this.calls = calls;
            this.probe = probe;
        }

        @Override
        public void run(Dispatch dispatch, RunListener listener) {
            calls.newRequest(dispatch).send(new BufferingResponseListener(MAX_ANSWER_BYTES) {
                /** Address that has answered, which is not known any more when the connection is closed. */
                private SocketAddress address;

                @Override
                public void onBegin(Response response) {
                    address = response.getRequest().getConnection().getRemoteSocketAddress();
                }

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
                        probe.hasEnded(address).thenAccept(ended -> {
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
