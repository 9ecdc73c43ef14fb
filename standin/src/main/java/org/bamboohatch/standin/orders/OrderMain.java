package org.bamboohatch.standin.orders;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;

import com.fasterxml.jackson.databind.JsonNode;
import org.HdrHistogram.DoubleHistogram;
import org.bamboohatch.http.JsonResponse;
import org.bamboohatch.kernel.settings.SettingsCommandLine;
import org.eclipse.jetty.client.ContentResponse;
import org.eclipse.jetty.client.HttpClient;
import org.eclipse.jetty.client.StringRequestContent;

/**
 * Main class of the program {@code bamboohatch-standin orders}: sends orders, repeats unanswered ones through other
 * entries and compares the reported outcomes with the number of times that each order ran. Exits with status 1 if an
 * order ran more than once, was reported wrongly or got different answers.
 */
public final class OrderMain {

    private static final String PROGRAM = "bamboohatch-standin-orders";

    private static final int MAX_CONCURRENT_SENDERS = 256;

    private static final int MAX_CONNECTIONS_PER_SERVER = 1_024;

    private static final double NANOS_PER_SECOND = 1e9;

    private static final double NANOS_PER_MS = 1e6;

    private static final long RETRY_DELAY_NANOS = 300_000_000;

    /** Time that the client waits for a response beyond the timeout that it sends to the entry. */
    private static final double CLIENT_TIMEOUT_MARGIN_SECONDS = 2;

    /** One in this many orders is sent to two entries at once. */
    private static final int DUPLICATE_INTERVAL = 10;

    private final OrderSettings settings;

    private final HttpClient client = new HttpClient();

    /** Number of error responses by error code. */
    private final Map<String, Integer> errors = new ConcurrentHashMap<>();

    private final List<Order> orders = new ArrayList<>();

    private OrderMain(OrderSettings settings) {
        this.settings = settings;
    }

    /**
     * Runs the program.
     *
     * @param arguments command line arguments
     * @throws Exception if the HTTP client fails
     */
    public static void main(String[] arguments) throws Exception {
        OrderMain driver = new OrderMain(SettingsCommandLine.read(PROGRAM, arguments, OrderSettings.class));
        driver.client.setMaxConnectionsPerDestination(MAX_CONNECTIONS_PER_SERVER);
        driver.client.start();
        driver.sendAll();
        System.exit(driver.verify() ? 0 : 1);
    }

    /**
     * Sends all orders and waits, for up to an hour, until each is answered or out of attempts.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    private void sendAll() throws InterruptedException {
        SplittableRandom random = new SplittableRandom(settings.seed());
        ExecutorService executor = Executors.newFixedThreadPool(MAX_CONCURRENT_SENDERS);
        long start = System.nanoTime();
        double arrival = 0;
        for (int number = 0; arrival < settings.seconds(); number++) {
            Order order = new Order("order-" + settings.seed() + "-" + number + "-" + start);
            orders.add(order);
            int firstEntry = number;
            executor.execute(() -> sendUntilAnswered(order, firstEntry));
            if (number % DUPLICATE_INTERVAL == 0) {
                executor.execute(() -> sendUntilAnswered(order, firstEntry + 1));
            }
            arrival += -Math.log(1 - random.nextDouble()) / settings.rate();
            for (long remainingNanos = start + (long) (arrival * NANOS_PER_SECOND) - System.nanoTime();
                    remainingNanos > 0; ) {
                LockSupport.parkNanos(remainingNanos);
                remainingNanos = start + (long) (arrival * NANOS_PER_SECOND) - System.nanoTime();
            }
        }
        executor.shutdown();
        executor.awaitTermination(1, TimeUnit.HOURS);
    }

    /**
     * Sends an order to one entry after the other until it is answered or the attempts are used up.
     *
     * @param order the order
     * @param firstEntry number of the first entry
     */
    private void sendUntilAnswered(Order order, int firstEntry) {
        long start = System.nanoTime();
        for (int attempt = 0; attempt < settings.tries(); attempt++) {
            String url =
                    settings.urls().get((firstEntry + attempt) % settings.urls().size());
            long attemptStart = System.nanoTime();
            try {
                ContentResponse response = send(order, url);
                String text = response.getContentAsString();
                Order.Outcome outcome = outcome(response.getStatus(), text);
                order.recordAttempt(outcome, text, millisSince(attemptStart), millisSince(start));
                if (outcome == Order.Outcome.DONE) {
                    return;
                }
            } catch (IOException
                    | InterruptedException
                    | java.util.concurrent.ExecutionException
                    | java.util.concurrent.TimeoutException noResponse) {
                order.recordAttempt(Order.Outcome.UNKNOWN, "", millisSince(attemptStart), millisSince(start));
            }
            LockSupport.parkNanos(RETRY_DELAY_NANOS);
        }
    }

    /**
     * Sends an attempt and waits for the response.
     *
     * @param order the order
     * @param url address of the entry
     * @return the response
     * @throws InterruptedException if the thread is interrupted
     * @throws java.util.concurrent.ExecutionException if the connection fails
     * @throws java.util.concurrent.TimeoutException if no response is received in time
     */
    private ContentResponse send(Order order, String url)
            throws InterruptedException, java.util.concurrent.ExecutionException,
                    java.util.concurrent.TimeoutException {
        return client.newRequest(url + "/services/" + settings.service() + "/orders")
                .method("POST")
                .headers(headers -> headers.put("Authorization", "Bearer " + settings.key())
                        .put("Idempotency-Key", order.body())
                        .put("Request-Timeout", Double.toString(settings.timeoutSeconds())))
                .body(new StringRequestContent("text/plain", order.body()))
                .timeout(
                        (long) ((settings.timeoutSeconds() + CLIENT_TIMEOUT_MARGIN_SECONDS) * 1000),
                        TimeUnit.MILLISECONDS)
                .send();
    }

    /**
     * Determines the outcome of an attempt and counts the error code of an error response.
     *
     * @param status the HTTP status
     * @param text the response body
     * @return the outcome
     * @throws IOException if the body is malformed
     */
    private Order.Outcome outcome(int status, String text) throws IOException {
        if (status >= 200 && status < 300) {
            return Order.Outcome.DONE;
        }
        JsonNode error = JsonResponse.MAPPER.readTree(text).path("error");
        errors.merge(error.path("code").asText(), 1, Integer::sum);
        boolean notRun = error.path("outcome").asText().equals("not-run");
        return notRun ? Order.Outcome.NOT_RUN : Order.Outcome.UNKNOWN;
    }

    /**
     * Compares the reported outcomes with the runs counted by the targets, and prints the violations and a summary.
     *
     * @return whether there is no violation
     * @throws Exception if the runs of a target cannot be read
     */
    private boolean verify() throws Exception {
        Map<String, Long> runs = new HashMap<>();
        for (String target : settings.targets()) {
            JsonNode targetRuns = JsonResponse.MAPPER
                    .readTree(client.GET(target + "/runs").getContentAsString())
                    .path("runs");
            targetRuns
                    .fields()
                    .forEachRemaining(
                            run -> runs.merge(run.getKey(), run.getValue().asLong(), Long::sum));
        }
        List<String> violations = orders.stream()
                .map(order -> order.violation(runs.getOrDefault(order.body(), 0L)))
                .filter(violation -> !violation.isEmpty())
                .toList();
        violations.forEach(violation -> System.out.println("VIOLATION " + violation));
        DoubleHistogram millisToAnswer = new DoubleHistogram(3);
        orders.stream()
                .mapToDouble(Order::millisToAnswer)
                .filter(millis -> millis >= 0)
                .forEach(millisToAnswer::recordValue);
        System.out.printf(
                "orders %d, answered %d, reported as not run %d, unknown %d, ran %d, violations %d; "
                        + "answer p50 %.1f ms p99 %.1f ms, slowest attempt %.0f ms; errors %s%n",
                orders.size(),
                orders.stream().filter(Order::isAnswered).count(),
                orders.stream().filter(Order::isReportedNotRun).count(),
                orders.stream()
                        .filter(order -> !order.isAnswered() && !order.isReportedNotRun())
                        .count(),
                orders.stream().filter(order -> runs.containsKey(order.body())).count(),
                violations.size(),
                millisToAnswer.getValueAtPercentile(50),
                millisToAnswer.getValueAtPercentile(99),
                orders.stream().mapToDouble(Order::slowestMillis).max().orElse(0),
                errors);
        return violations.isEmpty();
    }

    private static double millisSince(long nanos) {
        return (System.nanoTime() - nanos) / NANOS_PER_MS;
    }
}
