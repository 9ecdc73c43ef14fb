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

/** Gathers results and prints them by kind of request. */
final class LoadReport {

    /** Digits of the histograms. */
    private static final int DIGITS = 3;

    /** The results. */
    private final List<LoadResult> results = new ArrayList<>();

    /** Creates an empty report. */
    LoadReport() {}

    /**
     * Adds a result.
     *
     * @param result the result
     */
    synchronized void add(LoadResult result) {
        results.add(result);
    }

    /**
     * Counts the results.
     *
     * @return the number of ended requests
     */
    synchronized int size() {
        return results.size();
    }

    /**
     * Prints a table with a line a kind of request.
     *
     * @param out takes the table
     * @param fromMillis time of arrival from which requests are counted
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
        Map<String, List<LoadResult>> byShape = new LinkedHashMap<>();
        byShape.put("all", new ArrayList<>());
        for (LoadResult result : results) {
            if (result.arrivedMillis() >= fromMillis) {
                byShape.get("all").add(result);
                byShape.computeIfAbsent(result.shape(), added -> new ArrayList<>())
                        .add(result);
                byShape.computeIfAbsent("account-" + result.account(), added -> new ArrayList<>())
                        .add(result);
            }
        }
        byShape.forEach((shape, members) -> printLine(out, shape, members));
    }

    /**
     * Prints one line.
     *
     * @param out takes the line
     * @param shape the kind of request
     * @param members its results
     */
    private static void printLine(PrintStream out, String shape, List<LoadResult> members) {
        Map<Outcome, Integer> counts = new EnumMap<>(Outcome.class);
        members.forEach(result -> counts.merge(result.outcome(), 1, Integer::sum));
        List<LoadResult> good = members.stream()
                .filter(result -> result.outcome() == Outcome.OK)
                .toList();
        List<LoadResult> refused = members.stream()
                .filter(result -> result.outcome() == Outcome.REFUSED)
                .toList();
        DoubleHistogram first = histogram(good, LoadResult::firstMillis);
        out.printf(
                Locale.ROOT,
                "%-10s %6d %6d %7d %5d %6d %5d %9.1f %9.1f %9.1f %9.2f %9.1f %12d%n",
                shape,
                members.size(),
                counts.getOrDefault(Outcome.OK, 0),
                counts.getOrDefault(Outcome.REFUSED, 0),
                counts.getOrDefault(Outcome.LATE, 0),
                counts.getOrDefault(Outcome.FAILED, 0),
                counts.getOrDefault(Outcome.WRONG, 0),
                first.getValueAtPercentile(50),
                first.getValueAtPercentile(95),
                first.getValueAtPercentile(99),
                histogram(good, LoadResult::gapMillis).getValueAtPercentile(95),
                histogram(refused, LoadResult::totalMillis).getValueAtPercentile(99),
                good.stream().mapToLong(LoadResult::promptTokens).sum());
    }

    /**
     * Makes a histogram.
     *
     * @param members the results
     * @param value the value of each
     * @return the histogram
     */
    private static DoubleHistogram histogram(List<LoadResult> members, ToDoubleFunction<LoadResult> value) {
        DoubleHistogram histogram = new DoubleHistogram(DIGITS);
        members.stream().mapToDouble(value).filter(number -> number >= 0).forEach(histogram::recordValue);
        return histogram;
    }

    /**
     * Writes one line a request.
     *
     * @param file the file
     * @throws IOException if it cannot be written
     */
    synchronized void write(Path file) throws IOException {
        List<String> lines = new ArrayList<>();
        lines.add(LoadResult.CSV_HEAD);
        results.forEach(result -> lines.add(result.csv()));
        Files.write(file, lines);
    }
}
