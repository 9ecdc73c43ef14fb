package org.bamboohatch.standin.load;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToDoubleFunction;

import org.HdrHistogram.DoubleHistogram;
import org.bamboohatch.standin.load.LoadResult.Outcome;

/** Collects results and prints them by shape and account. */
final class LoadReport {

    private static final int SIGNIFICANT_DIGITS = 3;

    private final List<LoadResult> results = new ArrayList<>();

    LoadReport() {}

    synchronized void add(LoadResult result) {
        results.add(result);
    }

    synchronized int size() {
        return results.size();
    }

    /**
     * Prints a table with one line for all requests and one for each shape and each account.
     *
     * @param out the stream to print to
     * @param fromMillis arrival time from which requests are counted, in milliseconds since the start of the run
     */
    synchronized void print(PrintStream out, double fromMillis) {
        out.printf(
                "%-10s %6s %6s %7s %5s %6s %5s %9s %9s %9s %9s %9s %12s%n",
                "shape",
                "sent",
                "ok",
                "refused",
                "late",
                "failed",
                "wrong",
                "first50",
                "first95",
                "first99",
                "gap95",
                "refuse99",
                "tokens_ok");
        Map<String, List<LoadResult>> byGroup = new LinkedHashMap<>();
        byGroup.put("all", new ArrayList<>());
        for (LoadResult result : results) {
            if (result.arrivedMillis() >= fromMillis) {
                byGroup.get("all").add(result);
                byGroup.computeIfAbsent(result.shape(), added -> new ArrayList<>())
                        .add(result);
                byGroup.computeIfAbsent("account-" + result.account(), added -> new ArrayList<>())
                        .add(result);
            }
        }
        byGroup.forEach((group, members) -> printLine(out, group, members));
    }

    /**
     * Prints the line of a group of results.
     *
     * @param out the stream to print to
     * @param group name of the group: a shape, an account or all
     * @param members the results
     */
    private static void printLine(PrintStream out, String group, List<LoadResult> members) {
        Map<Outcome, Integer> counts = new EnumMap<>(Outcome.class);
        members.forEach(result -> counts.merge(result.outcome(), 1, Integer::sum));
        List<LoadResult> succeeded = members.stream()
                .filter(result -> result.outcome() == Outcome.OK)
                .toList();
        List<LoadResult> refused = members.stream()
                .filter(result -> result.outcome() == Outcome.REFUSED)
                .toList();
        DoubleHistogram timesToFirstToken = histogram(succeeded, LoadResult::firstMillis);
        out.printf(
                Locale.ROOT,
                "%-10s %6d %6d %7d %5d %6d %5d %9.1f %9.1f %9.1f %9.2f %9.1f %12d%n",
                group,
                members.size(),
                counts.getOrDefault(Outcome.OK, 0),
                counts.getOrDefault(Outcome.REFUSED, 0),
                counts.getOrDefault(Outcome.LATE, 0),
                counts.getOrDefault(Outcome.FAILED, 0),
                counts.getOrDefault(Outcome.WRONG, 0),
                timesToFirstToken.getValueAtPercentile(50),
                timesToFirstToken.getValueAtPercentile(95),
                timesToFirstToken.getValueAtPercentile(99),
                histogram(succeeded, LoadResult::gapMillis).getValueAtPercentile(95),
                histogram(refused, LoadResult::totalMillis).getValueAtPercentile(99),
                succeeded.stream().mapToLong(LoadResult::promptTokens).sum());
    }

    /**
     * Creates a histogram of the non-negative values; a negative value stands for a missing one.
     *
     * @param members the results
     * @param value returns the value of a result
     * @return the histogram
     */
    private static DoubleHistogram histogram(List<LoadResult> members, ToDoubleFunction<LoadResult> value) {
        DoubleHistogram histogram = new DoubleHistogram(SIGNIFICANT_DIGITS);
        members.stream().mapToDouble(value).filter(number -> number >= 0).forEach(histogram::recordValue);
        return histogram;
    }

    /**
     * Writes a CSV file with one line per request.
     *
     * @param file path of the file
     * @throws IOException if the file cannot be written
     */
    synchronized void write(Path file) throws IOException {
        List<String> lines = new ArrayList<>();
        lines.add(LoadResult.CSV_HEADER);
        results.forEach(result -> lines.add(result.csv()));
        Files.write(file, lines);
    }
}
