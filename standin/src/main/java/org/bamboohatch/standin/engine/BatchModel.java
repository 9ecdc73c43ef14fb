package org.bamboohatch.standin.engine;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Cost model of continuous batching: in each step some prompts advance and each running answer gains a token. */
final class BatchModel {

    /** Sequences that may run at the same time. */
    private static final int MAX_RUNNING = 256;

    /** The settings. */
    private final EngineSettings settings;

    /** Sequences that wait for memory, in order of arrival. */
    private final Map<String, Generation> waiting = new LinkedHashMap<>();

    /** Sequences that hold memory, in order of admission. */
    private final Map<String, Generation> running = new LinkedHashMap<>();

    /** Memory held, in tokens. */
    private long usedTokens;

    /** Prompt tokens processed since the start. */
    private long prefilledTokens;

    /** Answer tokens produced since the start. */
    private long decodedTokens;

    /** Time spent in steps since the start, in milliseconds before scaling. */
    private double busyMillis;

    /**
     * Creates an idle engine.
     *
     * @param settings the settings
     */
    BatchModel(EngineSettings settings) {
        this.settings = settings;
    }

    /**
     * The load of the engine.
     *
     * @param running sequences that hold memory
     * @param waiting sequences that wait for memory
     * @param usedTokens memory held, in tokens
     * @param waitingTokens prompt tokens that have not been processed
     * @param prefilledTokens prompt tokens processed since the start
     * @param decodedTokens answer tokens produced since the start
     * @param busyMillis time spent in steps since the start
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
     * Takes a sequence.
     *
     * @param sequence the sequence
     * @return whether its identifier was free
     */
    boolean submit(Generation sequence) {
        if (running.containsKey(sequence.id())) {
            return false;
        }
        return waiting.putIfAbsent(sequence.id(), sequence) == null;
    }

    /**
     * Cancels a sequence; it ends with the next step.
     *
     * @param id its identifier
     * @return whether there was one
     */
    boolean cancel(String id) {
        Generation sequence = running.getOrDefault(id, waiting.get(id));
        if (sequence == null) {
            return false;
        }
        sequence.cancel();
        return true;
    }

    /**
     * Tells whether there is anything to do.
     *
     * @return whether a step makes sense
     */
    boolean hasWork() {
        return !running.isEmpty() || !waiting.isEmpty();
    }

    /**
     * Lists the identifiers of all sequences.
     *
     * @return the identifiers
     */
    List<String> ids() {
        List<String> ids = new ArrayList<>(running.keySet());
        ids.addAll(waiting.keySet());
        return ids;
    }

    /**
     * Returns the load.
     *
     * @return the load
     */
    Report report() {
        long left = running.values().stream().mapToLong(Generation::prefillLeft).sum()
                + waiting.values().stream().mapToLong(Generation::prefillLeft).sum();
        return new Report(running.size(), waiting.size(), usedTokens, left, prefilledTokens, decodedTokens, busyMillis);
    }

    /**
     * Plans the next step: frees what is over, admits what fits and processes prompts in order of priority.
     *
     * @return duration of the step in milliseconds
     */
    double beginStep() {
        removeOver();
        admit();
        int budget = settings.stepTokens();
        int decoding = 0;
        for (Generation sequence : running.values()) {
            decoding += sequence.prefillLeft() == 0 ? 1 : 0;
        }
        budget -= decoding;
        long prefilled = 0;
        List<Generation> prompts = new ArrayList<>(running.values());
        prompts.removeIf(sequence -> sequence.prefillLeft() == 0);
        prompts.sort(Comparator.comparingInt(Generation::priority));
        for (Generation sequence : prompts) {
            long part = Math.min(budget - prefilled, sequence.prefillLeft());
            if (part <= 0) {
                break;
            }
            sequence.prefill(part);
            prefilled += part;
        }
        prefilledTokens += prefilled;
        double duration = settings.baseStepMillis()
                + prefilled * settings.prefillMillisPerToken()
                + decoding * settings.decodeMillisPerSequence();
        busyMillis += duration;
        return duration * settings.timeScale();
    }

    /** Ends the step: every answer whose prompt is processed gains a token. */
    void endStep() {
        for (Generation sequence : running.values()) {
            if (sequence.prefillLeft() == 0 && !sequence.isOver()) {
                sequence.emit();
                decodedTokens++;
            }
        }
        removeOver();
    }

    /** Frees the memory of sequences that are over. */
    private void removeOver() {
        for (Iterator<Generation> sequences = running.values().iterator(); sequences.hasNext(); ) {
            Generation sequence = sequences.next();
            if (sequence.isOver()) {
                sequences.remove();
                usedTokens -= sequence.memoryTokens();
                sequence.end();
            }
        }
        for (Iterator<Generation> sequences = waiting.values().iterator(); sequences.hasNext(); ) {
            Generation sequence = sequences.next();
            if (sequence.isOver()) {
                sequences.remove();
                sequence.end();
            }
        }
    }

    /** Admits waiting sequences in order of priority and arrival while memory lasts. */
    private void admit() {
        List<Generation> candidates = new ArrayList<>(waiting.values());
        candidates.sort(Comparator.comparingInt(Generation::priority));
        for (Generation sequence : candidates) {
            if (running.size() >= MAX_RUNNING || usedTokens + sequence.memoryTokens() > settings.memoryTokens()) {
                return;
            }
            waiting.remove(sequence.id());
            running.put(sequence.id(), sequence);
            usedTokens += sequence.memoryTokens();
        }
    }
}
