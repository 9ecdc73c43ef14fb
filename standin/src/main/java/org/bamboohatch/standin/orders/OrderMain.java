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
 * The program {@code bamboohatch-standin orders}: sends orders, sends unanswered ones again through other entries,
 * and compares what it was told with how often each order ran. Exit status 1 means a broken promise.
 */
public final class OrderMain {

    /** Name of the program. */
    private static final String PROGRAM = "bamboohatch-standin-orders";

    /** Orders under way at most. */
    private static final int THREADS = 256;

    /** Connections to one server at most. */
    private static final int MAX_CONNECTIONS = 1_024;

    /** Nanoseconds in a second. */
    private static final double NANOS_PER_SECOND = 1e9;

    /** Nanoseconds in a millisecond. */
    private static final double NANOS_PER_MS = 1e6;

    /** Pause before another try, in nanoseconds. */
    private static final long PAUSE_NANOS = 300_000_000;

    /** Time of a try beyond the time that the entry is given, in seconds. */
    private static final double PATIENCE_SECONDS = 2;

    /** One in so many orders is sent to two entries at once. */
    private static final int DOUBLED = 10;

    /** The settings. */
    private final OrderSettings settings;

    /** The HTTP client. */
    private final HttpClient client = new HttpClient();

    /** Tries that ended with an error, by its code. */
    private final Map<String, Integer> errors = new ConcurrentHashMap<>();

    /** The orders. */
    private final List<Order> orders = new ArrayList<>();

    /**
     * Creates a driver.
     *
     * @param settings the settings
     */
    private OrderMain(OrderSettings settings) {
        this.settings = settings;
    }

    /**
     * Runs the program.
     *
     * @param arguments the command line
     * @throws Exception if the HTTP client fails
     */
    public static void main(String[] arguments) throws Exception {
        OrderMain driver = new OrderMain(SettingsCommandLine.read(PROGRAM, arguments, OrderSettings.class));
        driver.client.setMaxConnectionsPerDestination(MAX_CONNECTIONS);
        driver.client.start();
        driver.sendAll();
        System.exit(driver.judge() ? 0 : 1);
    }

    /**
     * Sends all orders and awaits their ends.
     *
     * @throws InterruptedException if the thread is interrupted
     */
    private void sendAll() throws InterruptedException {
        SplittableRandom random = new SplittableRandom(settings.seed());
        ExecutorService threads = Executors.newFixedThreadPool(THREADS);
        long start = System.nanoTime();
        double arrival = 0;
        for (int number = 0; arrival < settings.seconds(); number++) {
            Order order = new Order("order-" + settings.seed() + "-" + number + "-" + start);
            orders.add(order);
            int first = number;
            threads.execute(() -> pursue(order, first));
            if (number % DOUBLED == 0) {
                threads.execute(() -> pursue(order, first + 1));
            }
            arrival += -Math.log(1 - random.nextDouble()) / settings.rate();
            for (long left = start + (long) (arrival * NANOS_PER_SECOND) - System.nanoTime(); left > 0; ) {
                LockSupport.parkNanos(left);
                left = start + (long) (arrival * NANOS_PER_SECOND) - System.nanoTime();
            }
        }
        threads.shutdown();
        threads.awaitTermination(1, TimeUnit.HOURS);
    }

    /**
     * Sends an order until it is answered or the tries are used up.
     *
     * @param order the order
     * @param first number of the first entry
     */
    private void pursue(Order order, int first) {
        long start = System.nanoTime();
        for (int number = 0; number < settings.tries(); number++) {
            String url = settings.urls().get((first + number) % settings.urls().size());
            long tryStart = System.nanoTime();
            try {
                ContentResponse response = send(order, url);
                String text = response.getContentAsString();
                Order.Answer answer = answer(response.getStatus(), text);
                order.take(answer, text, millisSince(tryStart), millisSince(start));
                if (answer == Order.Answer.DONE) {
                    return;
                }
            } catch (IOException
                    | InterruptedException
                    | java.util.concurrent.ExecutionException
                    | java.util.concurrent.TimeoutException nothingHeard) {
                order.take(Order.Answer.UNKNOWN, "", millisSince(tryStart), millisSince(start));
            }
            LockSupport.parkNanos(PAUSE_NANOS);
        }
    }

    /**
     * Sends one try.
     *
     * @param order the order
     * @param url address of the entry
     * @return the response
     * @throws InterruptedException if the thread is interrupted
     * @throws java.util.concurrent.ExecutionException if the connection fails
     * @throws java.util.concurrent.TimeoutException if nothing is heard
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
                .timeout((long) ((settings.timeoutSeconds() + PATIENCE_SECONDS) * 1000), TimeUnit.MILLISECONDS)
                .send();
    }

    /**
     * Reads what the client was told.
     *
     * @param status the HTTP status
     * @param text the body
     * @return the end of the try
     * @throws IOException if the body is malformed
     */
    private Order.Answer answer(int status, String text) throws IOException {
        if (status >= 200 && status < 300) {
            return Order.Answer.DONE;
        }
        JsonNode error = JsonResponse.MAPPER.readTree(text).path("error");
        errors.merge(error.path("code").asText(), 1, Integer::sum);
        boolean notRun = error.path("outcome").asText().equals("not-run");
        return notRun ? Order.Answer.NOT_RUN : Order.Answer.UNKNOWN;
    }

    /**
     * Compares what was told with what ran and prints both.
     *
     * @return whether every promise was kept
     * @throws Exception if a service cannot be asked
     */
    private boolean judge() throws Exception {
        Map<String, Long> runs = new HashMap<>();
        for (String target : settings.targets()) {
            JsonNode counted = JsonResponse.MAPPER
                    .readTree(client.GET(target + "/runs").getContentAsString())
                    .path("runs");
            counted.fields()
                    .forEachRemaining(
                            run -> runs.merge(run.getKey(), run.getValue().asLong(), Long::sum));
        }
        List<String> violations = orders.stream()
                .map(order -> order.violation(runs.getOrDefault(order.body(), 0L)))
                .filter(violation -> !violation.isEmpty())
                .toList();
        violations.forEach(violation -> System.out.println("VIOLATION " + violation));
        DoubleHistogram done = new DoubleHistogram(3);
        orders.stream()
                .mapToDouble(Order::doneMillis)
                .filter(millis -> millis >= 0)
                .forEach(done::recordValue);
        System.out.printf(
                "orders %d, answered %d, told not run %d, unknown %d, ran %d, violations %d; "
                        + "answer p50 %.1f ms p99 %.1f ms, slowest try %.0f ms; errors %s%n",
                orders.size(),
                orders.stream().filter(Order::isDone).count(),
                orders.stream().filter(Order::isNotRun).count(),
                orders.stream()
                        .filter(order -> !order.isDone() && !order.isNotRun())
                        .count(),
                orders.stream().filter(order -> runs.containsKey(order.body())).count(),
                violations.size(),
                done.getValueAtPercentile(50),
                done.getValueAtPercentile(99),
                orders.stream().mapToDouble(Order::slowestMillis).max().orElse(0),
                errors);
        return violations.isEmpty();
    }

    /**
     * Returns the time since a moment.
     *
     * @param nanos the moment
     * @return the time in milliseconds
     */
    private static double millisSince(long nanos) {
        return (System.nanoTime() - nanos) / NANOS_PER_MS;
    }
}
