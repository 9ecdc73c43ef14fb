package org.bamboohatch.control.simulation;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import org.bamboohatch.control.state.Command;
import org.bamboohatch.control.state.ControlStateMachine;
import org.bamboohatch.control.state.LedgerStateMachine;
import org.bamboohatch.kernel.id.AccountName;
import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.kernel.id.RunKey;
import org.bamboohatch.kernel.service.Invariant;
import org.bamboohatch.protocol.message.ControlReply.Run;
import org.bamboohatch.protocol.message.ControlReply.RunState;
import org.bamboohatch.protocol.message.ControlRequest.AbandonRun;
import org.bamboohatch.protocol.message.ControlRequest.BeginRun;
import org.bamboohatch.protocol.message.ControlRequest.FinishRun;
import org.bamboohatch.protocol.message.Message;
import org.bamboohatch.protocol.message.RecordedAnswer;

/**
 * Simulates entries and agents that use the real ledger through a simulated network, which delays, loses and duplicates
 * messages. Agents can crash at every step. Checks that a key runs at most once, that an attempt reported as not run
 * never runs, and that every recorded answer is the answer of the run.
 */
public final class LedgerSimulation {

    private static final long HOUR_MS = 3_600_000;
    private static final long RETENTION_MS = 24 * HOUR_MS;
    private static final int KEYS = 6;

    /**
     * A scheduled event.
     *
     * @param time simulated time of the event, in milliseconds
     * @param action invoked at that time
     */
    private record Event(long time, Runnable action) {}

    private final SplittableRandom random;
    private final ControlStateMachine stateMachine = new ControlStateMachine();
    private final List<Event> events = new ArrayList<>();
    private final Map<RunKey, AttemptId> runs = new HashMap<>();
    private final Map<RunKey, Long> lastUse = new HashMap<>();
    private final Set<AttemptId> reportedNotRun = new HashSet<>();
    private final boolean evictsTooEarly;
    private long now = 10_000;
    private int attempts;
    private int nonces;
    private long index;
    private int replays;

    /**
     * Creates a simulation.
     *
     * @param seed seed of all random decisions
     * @param evictsTooEarly whether records are evicted while they can still be claimed, to show that the checks
     *     detect it
     */
    public LedgerSimulation(long seed, boolean evictsTooEarly) {
        this.random = new SplittableRandom(seed);
        this.evictsTooEarly = evictsTooEarly;
    }

    /** Returns the counts of the simulation so far, for the output of {@link LedgerProof}. */
    public String summary() {
        return attempts + " attempts, " + runs.size() + " runs, " + reportedNotRun.size() + " reported as not run, "
                + replays + " replays";
    }

    /**
     * Runs the simulation.
     *
     * @param steps number of random steps
     * @throws Invariant.Violation if a check fails
     */
    public void run(int steps) {
        for (int step = 0; step < steps; step++) {
            if (random.nextInt(100) < 40) {
                sendClientRequest();
            }
            now += random.nextInt(100) < 5 ? random.nextLong(3 * HOUR_MS) : random.nextLong(400);
            runDueEvents();
            if (random.nextInt(50) == 0) {
                evict();
            }
            if (random.nextInt(50) == 0) {
                stateMachine.restore(stateMachine.snapshot());
            }
        }
    }

    private void runDueEvents() {
        List<Event> due = events.stream().filter(event -> event.time <= now).toList();
        events.removeAll(due);
        due.forEach(event -> event.action.run());
    }

    private void schedule(long delay, Runnable action) {
        events.add(new Event(now + delay, action));
    }

    /** Sends a message, which can be delayed, lost or duplicated. */
    private void send(Runnable arrival) {
        int copies = random.nextInt(100) < 8 ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            if (random.nextInt(100) >= 8) {
                long delay = random.nextInt(100) < 4 ? random.nextLong(2 * HOUR_MS) : random.nextLong(300);
                schedule(delay, arrival);
            }
        }
    }

    private void sendRequest(RunKey key, Message request, Consumer<Run> receiver) {
        send(() -> {
            lastUse.put(key, now);
            byte[] command = ControlStateMachine.encode(new Command(now, request));
            index++;
            Run run = (Run) stateMachine.apply(index, command);
            send(() -> receiver.accept(run));
        });
    }

    private void evict() {
        long retentionMillis = evictsTooEarly ? HOUR_MS : RETENTION_MS + LedgerStateMachine.MAX_ATTEMPT_AGE_MS;
        index++;
        stateMachine.apply(
                index, ControlStateMachine.encode(new Command(now, new Command.Evict(now - retentionMillis))));
    }

    /** Sends or resends a client's request, unless its key was last used longer than the retention time ago. */
    private void sendClientRequest() {
        RunKey key = new RunKey(new AccountName("oaxaca"), now / (9 * HOUR_MS) + "-" + random.nextInt(KEYS));
        boolean expired = now - lastUse.getOrDefault(key, now) > RETENTION_MS;
        if (!expired) {
            attempt(key, 0);
        }
    }

    private void attempt(RunKey key, int retries) {
        attempts++;
        AttemptId attempt = new AttemptId("attempt-" + attempts);
        long createdAt = now;
        send(() -> runAgent(key, attempt, createdAt));
        if (random.nextBoolean()) {
            schedule(random.nextLong(500), () -> abandon(key, attempt, createdAt, retries));
        }
    }

    private void abandon(RunKey key, AttemptId attempt, long createdAt, int retries) {
        sendRequest(key, new AbandonRun(key, attempt, null, createdAt), run -> {
            if (run.state() == RunState.ABANDONED) {
                reportedNotRun.add(attempt);
                Invariant.check(!attempt.equals(runs.get(key)), () -> attempt + " ran, but is reported as not run");
                if (retries < 3 && now - createdAt < HOUR_MS) {
                    attempt(key, retries + 1);
                }
            } else if (run.state() == RunState.FINISHED) {
                checkAnswer(key, run);
            }
        });
    }

    /** Simulates an agent that receives a dispatched attempt, possibly twice, and that can crash at every step. */
    private void runAgent(RunKey key, AttemptId attempt, long createdAt) {
        nonces++;
        String nonce = "nonce-" + nonces;
        boolean[] decided = new boolean[1];
        for (int resend = 0; resend < 3; resend++) {
            schedule(resend * 400L, () -> {
                if (!decided[0]) {
                    sendRequest(key, new BeginRun(key, attempt, nonce, "hash", createdAt), run -> {
                        if (!decided[0]) {
                            decided[0] = true;
                            handleClaimReply(key, attempt, nonce, createdAt, run);
                        }
                    });
                }
            });
        }
    }

    private void handleClaimReply(RunKey key, AttemptId attempt, String nonce, long createdAt, Run run) {
        if (run.state() == RunState.FINISHED) {
            checkAnswer(key, run);
            return;
        }
        if (run.state() != RunState.GRANTED || random.nextInt(100) < 10) {
            return;
        }
        if (random.nextInt(100) < 10) {
            sendRequest(key, new AbandonRun(key, attempt, nonce, createdAt), reply -> {});
            return;
        }
        AttemptId other = runs.putIfAbsent(key, attempt);
        Invariant.check(other == null, () -> key + " runs twice: " + other + " and " + attempt);
        Invariant.check(!reportedNotRun.contains(attempt), () -> attempt + " runs after it was reported as not run");
        if (random.nextInt(100) < 85) {
            RecordedAnswer answer =
                    new RecordedAnswer(201, "text/plain", attempt.value().getBytes());
            schedule(
                    random.nextLong(300),
                    () -> sendRequest(key, new FinishRun(key, attempt, nonce, answer), reply -> {}));
        }
    }

    private void checkAnswer(RunKey key, Run run) {
        replays++;
        String answer = new String(run.answer().body());
        AttemptId ran = runs.get(key);
        Invariant.check(
                ran != null && ran.value().equals(answer),
                () -> key + " was answered by " + answer + ", but " + ran + " ran");
    }
}
