package org.bamboohatch.gateway.load;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

import org.bamboohatch.document.fleet.EngineCostModel;

/** Simulates a model engine that works in passes, according to its cost model. */
final class SimulatedEngine {

    /** Prefill chunks in a pass without decoding. */
    private static final int PREFILL_ONLY_PASS_CHUNKS = 4;

    private final EngineCostModel model;

    /** Prompt parts that wait for their prefill, the newest first, which is the order of the platform's engines. */
    private final Deque<Part> pendingPrefill = new ArrayDeque<>();

    private final List<Generation> decoding = new ArrayList<>();

    /** Parts of generations that this engine answers and that wait for a slot, in order of arrival. */
    private final Deque<Part> waitingForSlot = new ArrayDeque<>();

    /** Maximum number of generations that the engine works on. */
    private final int slots;

    private int takenSlots;

    private final List<Part> prefilledInPass = new ArrayList<>();

    private boolean busy;

    private boolean decodesInPass;

    private double passEndsAt;

    /** A generation, from its arrival to its last event. */
    static final class Generation {

        final double arrivedAt;

        final long promptTokens;

        final double targetLatencyMillis;

        final double maximumInterTokenMillis;

        double remainingOutputTokens;

        int unfinishedParts;

        SimulatedEngine decoder;

        double firstEventAt = -1;

        double lastEventAt;

        double longestInterTokenMillis;

        Runnable onFirstEvent = () -> {};

        Runnable onEnd = () -> {};

        Generation(
                double arrivedAt,
                long promptTokens,
                double remainingOutputTokens,
                double targetLatencyMillis,
                double maximumInterTokenMillis) {
            this.arrivedAt = arrivedAt;
            this.promptTokens = promptTokens;
            this.remainingOutputTokens = remainingOutputTokens;
            this.targetLatencyMillis = targetLatencyMillis;
            this.maximumInterTokenMillis = maximumInterTokenMillis;
        }

        boolean meetsTargets() {
            return firstEventAt >= 0
                    && firstEventAt - arrivedAt <= targetLatencyMillis
                    && longestInterTokenMillis <= maximumInterTokenMillis;
        }
    }

    /** One of the equal parts of a prompt. */
    private static final class Part {

        private final Generation generation;

        private final double millisPerToken;

        private double remainingTokens;

        private Part(Generation generation, double tokens, double millisPerToken) {
            this.generation = generation;
            this.remainingTokens = tokens;
            this.millisPerToken = millisPerToken;
        }
    }

    /** Creates an engine that works on any number of generations. */
    SimulatedEngine(EngineCostModel model) {
        this(model, Integer.MAX_VALUE);
    }

    SimulatedEngine(EngineCostModel model, int slots) {
        this.model = model;
        this.slots = slots;
    }

    /** Sends a generation to the engine that decodes it and to those that help with the prefill. */
    static void send(Generation generation, SimulatedEngine decoder, List<SimulatedEngine> helpers) {
        int engineCount = helpers.size() + 1;
        double tokens = (double) generation.promptTokens / engineCount;
        double millisPerToken = decoder.model.prefillMillis(generation.promptTokens) / generation.promptTokens;
        generation.decoder = decoder;
        generation.unfinishedParts = engineCount;
        decoder.waitingForSlot.add(new Part(generation, tokens, millisPerToken));
        decoder.fillSlots();
        helpers.forEach(helper -> helper.pendingPrefill.addFirst(new Part(generation, tokens, millisPerToken)));
    }

    private void fillSlots() {
        while (takenSlots < slots && !waitingForSlot.isEmpty()) {
            takenSlots++;
            pendingPrefill.addFirst(waitingForSlot.poll());
        }
    }

    /** Completes the pass in progress if it is due, and begins the next one. */
    void advance(double now) {
        if (busy && now >= passEndsAt) {
            endPass();
        }
        if (!busy) {
            beginPass(now);
        }
    }

    private void beginPass(double now) {
        boolean idle = decoding.isEmpty() && pendingPrefill.isEmpty();
        if (idle) {
            return;
        }
        decodesInPass = !decoding.isEmpty();
        double contextTokens = decoding.stream()
                .mapToDouble(generation -> generation.promptTokens)
                .sum();
        double passMillis = decodesInPass ? model.decodePassMillis(decoding.size(), contextTokens) : 0;
        double prefillBudget =
                (double) model.prefillChunkTokens() * (decodesInPass ? model.stepsPerPass() : PREFILL_ONLY_PASS_CHUNKS);
        prefilledInPass.clear();
        while (prefillBudget > 0 && !pendingPrefill.isEmpty()) {
            Part part = pendingPrefill.peek();
            double tokens = Math.min(prefillBudget, part.remainingTokens);
            part.remainingTokens -= tokens;
            prefillBudget -= tokens;
            passMillis += tokens * part.millisPerToken;
            if (part.remainingTokens <= 0) {
                prefilledInPass.add(pendingPrefill.poll());
            }
        }
        busy = true;
        passEndsAt = now + passMillis;
    }

    private void endPass() {
        busy = false;
        if (decodesInPass) {
            for (Generation generation : List.copyOf(decoding)) {
                emitEvent(generation);
            }
        }
        for (Part part : prefilledInPass) {
            part.generation.unfinishedParts--;
            if (part.generation.unfinishedParts == 0) {
                part.generation.decoder.decoding.add(part.generation);
            }
        }
    }

    private void emitEvent(Generation generation) {
        if (generation.firstEventAt < 0) {
            generation.firstEventAt = passEndsAt;
            generation.onFirstEvent.run();
        } else {
            generation.longestInterTokenMillis =
                    Math.max(generation.longestInterTokenMillis, passEndsAt - generation.lastEventAt);
        }
        generation.lastEventAt = passEndsAt;
        generation.remainingOutputTokens -= model.stepsPerPass();
        if (generation.remainingOutputTokens <= 0) {
            decoding.remove(generation);
            takenSlots--;
            fillSlots();
            generation.onEnd.run();
        }
    }
}
