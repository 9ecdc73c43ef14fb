package org.bamboohatch.standin.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Cost model of an engine with continuous batching. In each step, each decoding sequence produces a token, and
 * prompts are prefilled with the rest of the step's token budget.
 */
final class BatchModel {

    /** Maximum number of sequences that hold memory at the same time. */
    private static final int MAX_RUNNING_SEQUENCES = 256;

    private final EngineSettings settings;

    /** Sequences that wait for memory by identifier, in order of arrival. */
    private final Map<String, Generation> waiting = new LinkedHashMap<>();

    /** Sequences that hold memory by identifier, in order of admission. */
    private final Map<String, Generation> running = new LinkedHashMap<>();

    private long usedTokens;

    private long prefilledTokens;

    private long decodedTokens;

    /** Duration of all steps since the start, before scaling. */
    private double busyMillis;

    BatchModel(EngineSettings settings) {
        this.settings = settings;
    }

    /**
     * Load of the engine.
     *
     * @param running number of sequences that hold memory
     * @param waiting number of sequences that wait for memory
     * @param usedTokens memory in use, in tokens
     * @param waitingTokens number of prompt tokens that have not been prefilled
     * @param prefilledTokens number of prompt tokens prefilled since the start
     * @param decodedTokens number of answer tokens decoded since the start
     * @param busyMillis duration of all steps since the start, in milliseconds before scaling
     */
    record Report(
            int running,
            int waiting,
            long usedTokens,
            long waitingTokens,
            long prefilledTokens,
            long decodedTokens,
            double busyMillis) {}

    /**
     * Enqueues a sequence.
     *
     * @param sequence the sequence
     * @return whether the sequence was enqueued, which it is not if its identifier is in use
     */
    boolean submit(Generation sequence) {
        if (running.containsKey(sequence.id())) {
            return false;
        }
        return waiting.putIfAbsent(sequence.id(), sequence) == null;
    }

    /**
     * Cancels a sequence, which is removed at the beginning or end of a step.
     *
     * @param id identifier of the sequence
     * @return whether there is such a sequence
     */
    boolean cancel(String id) {
        Generation sequence = running.getOrDefault(id, waiting.get(id));
        if (sequence == null) {
            return false;
        }
        sequence.cancel();
        return true;
    }

    boolean hasWork() {
        return !running.isEmpty() || !waiting.isEmpty();
    }

    List<String> ids() {
        List<String> ids = new ArrayList<>(running.keySet());
        ids.addAll(waiting.keySet());
        return ids;
    }

    Report report() {
        long waitingTokens = running.values().stream()
                        .mapToLong(Generation::remainingPrefillTokens)
                        .sum()
                + waiting.values().stream()
                        .mapToLong(Generation::remainingPrefillTokens)
                        .sum();
        return new Report(
                running.size(), waiting.size(), usedTokens, waitingTokens, prefilledTokens, decodedTokens, busyMillis);
    }

    /**
     * Begins a step: removes finished sequences, admits waiting ones and prefills prompts in order of
     * priority.
     *
     * @return duration of the step, in milliseconds
     */
    double beginStep() {
        removeFinished();
        admit();
        int budget = settings.stepTokens();
        int decoding = 0;
        for (Generation sequence : running.values()) {
            decoding += sequence.remainingPrefillTokens() == 0 ? 1 : 0;
        }
        budget -= decoding;
        long prefilled = 0;
        List<Generation> prompts = new ArrayList<>(running.values());
        prompts.removeIf(sequence -> sequence.remainingPrefillTokens() == 0);
        prompts.sort(Comparator.comparingInt(Generation::priority));
        for (Generation sequence : prompts) {
            long tokens = Math.min(budget - prefilled, sequence.remainingPrefillTokens());
            if (tokens <= 0) {
                break;
            }
            sequence.prefill(tokens);
            prefilled += tokens;
        }
        prefilledTokens += prefilled;
        double duration = settings.baseStepMillis()
                + prefilled * settings.prefillMillisPerToken()
                + decoding * settings.decodeMillisPerSequence();
        busyMillis += duration;
        return duration * settings.timeScale();
    }

    /** Ends a step: every sequence whose prompt is prefilled produces a token. */
    void endStep() {
        for (Generation sequence : running.values()) {
            if (sequence.remainingPrefillTokens() == 0 && !sequence.isFinished()) {
                sequence.emit();
                decodedTokens++;
            }
        }
        removeFinished();
    }

    /** Removes finished sequences and frees their memory. */
    private void removeFinished() {
        for (Iterator<Generation> sequences = running.values().iterator(); sequences.hasNext(); ) {
            Generation sequence = sequences.next();
            if (sequence.isFinished()) {
                sequences.remove();
                usedTokens -= sequence.memoryTokens();
                sequence.end();
            }
        }
        for (Iterator<Generation> sequences = waiting.values().iterator(); sequences.hasNext(); ) {
            Generation sequence = sequences.next();
            if (sequence.isFinished()) {
                sequences.remove();
                sequence.end();
            }
        }
    }

    /** Admits waiting sequences in order of priority and arrival until one exceeds the memory or the number of sequences. */
    private void admit() {
        List<Generation> candidates = new ArrayList<>(waiting.values());
        candidates.sort(Comparator.comparingInt(Generation::priority));
        for (Generation sequence : candidates) {
            if (running.size() >= MAX_RUNNING_SEQUENCES
                    || usedTokens + sequence.memoryTokens() > settings.memoryTokens()) {
                return;
            }
            waiting.remove(sequence.id());
            running.put(sequence.id(), sequence);
            usedTokens += sequence.memoryTokens();
        }
    }
}
