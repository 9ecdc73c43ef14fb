package org.bamboohatch.control.state;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.bamboohatch.kernel.id.RequestTrait;
import org.bamboohatch.kernel.id.TargetIncarnation;
import org.bamboohatch.protocol.message.CrashEvidence;

/**
 * State machine of the evidence against requests that end targets, from which gateways that start continue. Times are ledger
 * times, so a time in which no control process runs does not count.
 */
public final class CrashStateMachine {

    /** Ledger time for which a crash is retained, in milliseconds. */
    static final long RETENTION_MS = 600_000;

    /** Number of crashes that are retained at most; the one recorded first is dropped first. */
    static final int MAX_CRASHES = 128;

    /** Number of traits of a crash that are retained at most. */
    static final int MAX_TRAITS = 8;

    /** Difference below which two reports of the latest response on a trait count as the same, in milliseconds. */
    private static final long SAME_RESPONSE_MS = 1_000;

    /** Crashes in the order in which they were recorded first. */
    private final Map<TargetIncarnation, Recorded> crashes = new LinkedHashMap<>();

    /** Ledger time of the latest response, for traits of the crashes on which one is known. */
    private final Map<RequestTrait, Long> generated = new HashMap<>();

    CrashStateMachine() {}

    /**
     * A crash in the state.
     *
     * @param target the incarnation that ended
     * @param time ledger time of the crash, in milliseconds
     * @param traits traits that may be the cause
     * @param attributed whether the traits are known to end targets
     */
    record Recorded(TargetIncarnation target, long time, List<RequestTrait> traits, boolean attributed) {}

    /**
     * The latest response on a trait, in the state.
     *
     * @param trait the trait
     * @param time ledger time of the response, in milliseconds
     */
    record Generated(RequestTrait trait, long time) {}

    /**
     * State in a snapshot.
     *
     * @param crashes the crashes in the order in which they were recorded first
     * @param generated the latest responses on their traits
     */
    record State(List<Recorded> crashes, List<Generated> generated) {}

    /**
     * Combines the recorded evidence with that of a gateway. A response on a trait clears it of the crashes before.
     *
     * @param evidence the evidence
     * @param time ledger time to which its ages refer, in milliseconds
     */
    void record(CrashEvidence evidence, long time) {
        evidence.crashes().forEach(crash -> record(crash, time));
        Set<RequestTrait> traits = recordedTraits();
        evidence.generated().stream()
                .filter(generation -> traits.contains(generation.trait()))
                .forEach(generation -> recordGeneration(generation.trait(), time - generation.ageMillis()));
        crashes.values().removeIf(crash -> crash.time() <= time - RETENTION_MS);
        crashes.replaceAll((target, crash) -> withoutCleared(crash));
        crashes.values().removeIf(crash -> crash.traits().isEmpty());
        Iterator<Recorded> first = crashes.values().iterator();
        while (crashes.size() > MAX_CRASHES) {
            first.next();
            first.remove();
        }
        generated.keySet().retainAll(recordedTraits());
    }

    private void record(CrashEvidence.Crash crash, long time) {
        TargetIncarnation target = crash.toIncarnation();
        if (crash.traits().isEmpty()) {
            crashes.remove(target);
            return;
        }
        Recorded known = crashes.get(target);
        Set<RequestTrait> traits = new LinkedHashSet<>(known == null ? List.of() : known.traits());
        traits.addAll(crash.traits());
        crashes.put(
                target,
                new Recorded(
                        target,
                        known == null ? time - crash.ageMillis() : known.time(),
                        traits.stream().limit(MAX_TRAITS).toList(),
                        crash.attributed() || known != null && known.attributed()));
    }

    private void recordGeneration(RequestTrait trait, long at) {
        Long known = generated.get(trait);
        if (known == null || at > known + SAME_RESPONSE_MS) {
            generated.put(trait, at);
        }
    }

    private Recorded withoutCleared(Recorded crash) {
        List<RequestTrait> suspects = crash.traits().stream()
                .filter(trait -> generated.getOrDefault(trait, Long.MIN_VALUE) < crash.time())
                .toList();
        return suspects.equals(crash.traits())
                ? crash
                : new Recorded(crash.target(), crash.time(), suspects, crash.attributed());
    }

    private Set<RequestTrait> recordedTraits() {
        Set<RequestTrait> traits = new HashSet<>();
        crashes.values().forEach(crash -> traits.addAll(crash.traits()));
        return traits;
    }

    /**
     * Indicates whether evidence adds to what is recorded.
     *
     * @param evidence the evidence of a gateway
     * @param time current ledger time, in milliseconds
     * @return whether a record of it would change the state
     */
    public boolean isNew(CrashEvidence evidence, long time) {
        CrashStateMachine combined = new CrashStateMachine();
        combined.restore(state());
        combined.record(evidence, time);
        return !combined.crashes.equals(crashes) || !combined.generated.equals(generated);
    }

    /**
     * Returns the recorded evidence.
     *
     * @param time current ledger time, in milliseconds
     * @return the evidence, with ages at that time
     */
    public CrashEvidence evidence(long time) {
        return new CrashEvidence(
                crashes.values().stream()
                        .map(crash -> new CrashEvidence.Crash(
                                crash.target().target(),
                                crash.target().number(),
                                time - crash.time(),
                                crash.traits(),
                                crash.attributed()))
                        .toList(),
                generated.entrySet().stream()
                        .map(entry -> new CrashEvidence.Generation(entry.getKey(), time - entry.getValue()))
                        .toList());
    }

    /**
     * Returns the state for a snapshot.
     *
     * @return all crashes and responses
     */
    State state() {
        List<Generated> responses = new ArrayList<>();
        generated.forEach((trait, time) -> responses.add(new Generated(trait, time)));
        return new State(List.copyOf(crashes.values()), responses);
    }

    /**
     * Replaces the state with that of a snapshot.
     *
     * @param state the state, null in snapshots of versions that recorded no crashes
     */
    void restore(State state) {
        crashes.clear();
        generated.clear();
        if (state != null) {
            state.crashes().forEach(crash -> crashes.put(crash.target(), crash));
            state.generated().forEach(response -> generated.put(response.trait(), response.time()));
        }
    }
}
