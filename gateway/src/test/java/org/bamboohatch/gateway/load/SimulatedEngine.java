package org.bamboohatch.gateway.load;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.bamboohatch.document.fleet.EngineCostModel;

/** A model engine that works in passes, as its cost model describes it. */
final class SimulatedEngine {

    /** Tokens of a pass in which nobody writes. */
    private static final int IDLE_PASS_CHUNKS = 4;

    private final EngineCostModel model;

    /** Parts that wait to be read, the newest first, as measured on the platform. */
    private final Deque<Part> reading = new ArrayDeque<>();

    private final List<Generation> writers = new ArrayList<>();

    private final List<Part> readInPass = new ArrayList<>();

    private boolean busy;

    private boolean writesInPass;

    private double passEnds;

    /** One generation from its arrival to its last event. */
    static final class Generation {

        final double arrivedAt;

        final long promptTokens;

        final double targetMillis;

        final double gapMillis;

        double answerTokens;

        int openParts;

        SimulatedEngine writer;

        double firstAt = -1;

        double lastAt;

        double longestPause;

        Runnable onFirst = () -> {};

        Runnable onEnd = () -> {};

        Generation(double arrivedAt, long promptTokens, double answerTokens, double targetMillis, double gapMillis) {
            this.arrivedAt = arrivedAt;
            this.promptTokens = promptTokens;
            this.answerTokens = answerTokens;
            this.targetMillis = targetMillis;
            this.gapMillis = gapMillis;
        }

        boolean isTimely() {
            return firstAt >= 0 && firstAt - arrivedAt <= targetMillis && longestPause <= gapMillis;
        }
    }

    /** An even part of a prompt. */
    private static final class Part {

        private final Generation generation;

        private final double millisPerToken;

        private double tokensLeft;

        private Part(Generation generation, double tokens, double millisPerToken) {
            this.generation = generation;
            this.tokensLeft = tokens;
            this.millisPerToken = millisPerToken;
        }
    }

    SimulatedEngine(EngineCostModel model) {
        this.model = model;
    }

    /** Sends a generation to the engine that writes it and those that help to read it. */
    static void send(Generation generation, SimulatedEngine writer, List<SimulatedEngine> helpers) {
        int readers = helpers.size() + 1;
        double tokens = (double) generation.promptTokens / readers;
        double millisPerToken = writer.model.prefillMillis(generation.promptTokens) / generation.promptTokens;
        generation.writer = writer;
        generation.openParts = readers;
        writer.reading.addFirst(new Part(generation, tokens, millisPerToken));
        helpers.forEach(helper -> helper.reading.addFirst(new Part(generation, tokens, millisPerToken)));
    }

    /** Ends a pass that is over, and begins the next one. */
    void advance(double now) {
        if (busy && now >= passEnds) {
            endPass();
        }
        if (!busy) {
            beginPass(now);
        }
    }

    private void beginPass(double now) {
        boolean idle = writers.isEmpty() && reading.isEmpty();
        if (idle) {
            return;
        }
        writesInPass = !writers.isEmpty();
        double context =
                writers.stream().mapToDouble(writer -> writer.promptTokens).sum();
        double time = writesInPass ? model.decodePassMillis(writers.size(), context) : 0;
        double budget = (double) model.prefillChunkTokens() * (writesInPass ? model.stepsPerPass() : IDLE_PASS_CHUNKS);
        readInPass.clear();
        while (budget > 0 && !reading.isEmpty()) {
            Part part = reading.peek();
            double tokens = Math.min(budget, part.tokensLeft);
            part.tokensLeft -= tokens;
            budget -= tokens;
            time += tokens * part.millisPerToken;
            if (part.tokensLeft <= 0) {
                readInPass.add(reading.poll());
            }
        }
        busy = true;
        passEnds = now + time;
    }

    private void endPass() {
        busy = false;
        if (writesInPass) {
            for (Generation writer : List.copyOf(writers)) {
                writeEvent(writer);
            }
        }
        for (Part part : readInPass) {
            part.generation.openParts--;
            if (part.generation.openParts == 0) {
                part.generation.writer.writers.add(part.generation);
            }
        }
    }

    private void writeEvent(Generation generation) {
        if (generation.firstAt < 0) {
            generation.firstAt = passEnds;
            generation.onFirst.run();
        } else {
            generation.longestPause = Math.max(generation.longestPause, passEnds - generation.lastAt);
        }
        generation.lastAt = passEnds;
        generation.answerTokens -= model.stepsPerPass();
        if (generation.answerTokens <= 0) {
            writers.remove(generation);
            generation.onEnd.run();
        }
    }
}
