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
 * Entries and agents that race over the real ledger through a fake network that delays, loses and repeats their
 * messages, while agents crash at every step. Checks that a key runs at most once, that "not run" stays true, and
 * that every recorded answer is the answer of the run.
 */
public final class LedgerSimulation {

    private static final long HOUR_MS = 3_600_000;
    private static final long RETENTION_MS = 24 * HOUR_MS;
    private static final int KEYS = 6;

    /** Something that happens at a time. */
    private record Happening(long time, Runnable action) {}

    private final SplittableRandom random;
    private final ControlStateMachine machine = new ControlStateMachine();
    private final List<Happening> happenings = new ArrayList<>();
    private final Map<RunKey, AttemptId> runs = new HashMap<>();
    private final Map<RunKey, Long> lastUse = new HashMap<>();
    private final Set<AttemptId> toldNotRun = new HashSet<>();
    private final boolean forgetful;
    private long now = 10_000;
    private int attempts;
    private int nonces;
    private long index;
    private int replays;

    /** The forgetful variant evicts too early, for showing that the checks notice it. */
    public LedgerSimulation(long seed, boolean forgetful) {
        this.random = new SplittableRandom(seed);
        this.forgetful = forgetful;
    }

    public String summary() {
        return attempts + " attempts, " + runs.size() + " runs, " + toldNotRun.size() + " told not run, " + replays
                + " replays";
    }

    public void run(int steps) {
        for (int step = 0; step < steps; step++) {
            if (random.nextInt(100) < 40) {
                order();
            }
            now += random.nextInt(100) < 5 ? random.nextLong(3 * HOUR_MS) : random.nextLong(400);
            happen();
            if (random.nextInt(50) == 0) {
                evict();
            }
            if (random.nextInt(50) == 0) {
                machine.restore(machine.snapshot());
            }
        }
    }

    private void happen() {
        List<Happening> due =
                happenings.stream().filter(what -> what.time <= now).toList();
        happenings.removeAll(due);
        due.forEach(what -> what.action.run());
    }

    private void later(long delay, Runnable action) {
        happenings.add(new Happening(now + delay, action));
    }

    /** Sends a message: it may be late, lost or doubled. */
    private void send(Runnable arrival) {
        int copies = random.nextInt(100) < 8 ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            if (random.nextInt(100) >= 8) {
                long delay = random.nextInt(100) < 4 ? random.nextLong(2 * HOUR_MS) : random.nextLong(300);
                later(delay, arrival);
            }
        }
    }

    private void ask(RunKey key, Message request, Consumer<Run> answer) {
        send(() -> {
            lastUse.put(key, now);
            byte[] command = ControlStateMachine.encode(new Command(now, request));
            index++;
            Run run = (Run) machine.apply(index, command);
            send(() -> answer.accept(run));
        });
    }

    private void evict() {
        long kept = forgetful ? HOUR_MS : RETENTION_MS + LedgerStateMachine.MAX_ATTEMPT_AGE_MS;
        index++;
        machine.apply(index, ControlStateMachine.encode(new Command(now, new Command.Evict(now - kept))));
    }

    /** A client sends or resends an order; it does not come back when the ledger has long not heard of the key. */
    private void order() {
        RunKey key = new RunKey(new AccountName("oaxaca"), now / (9 * HOUR_MS) + "-" + random.nextInt(KEYS));
        boolean gone = now - lastUse.getOrDefault(key, now) > RETENTION_MS;
        if (!gone) {
            attempt(key, 0);
        }
    }

    private void attempt(RunKey key, int retries) {
        attempts++;
        AttemptId attempt = new AttemptId("attempt-" + attempts);
        long made = now;
        send(() -> agent(key, attempt, made));
        if (random.nextBoolean()) {
            later(random.nextLong(500), () -> abandon(key, attempt, made, retries));
        }
    }

    private void abandon(RunKey key, AttemptId attempt, long made, int retries) {
        ask(key, new AbandonRun(key, attempt, null, made), run -> {
            if (run.state() == RunState.ABANDONED) {
                toldNotRun.add(attempt);
                Invariant.check(!attempt.equals(runs.get(key)), () -> attempt + " ran and is told not to have run");
                if (retries < 3 && now - made < HOUR_MS) {
                    attempt(key, retries + 1);
                }
            } else if (run.state() == RunState.FINISHED) {
                checkAnswer(key, run);
            }
        });
    }

    /** An agent takes a dispatched attempt, possibly twice, and may crash at every step. */
    private void agent(RunKey key, AttemptId attempt, long made) {
        nonces++;
        String nonce = "nonce-" + nonces;
        boolean[] decided = new boolean[1];
        for (int tries = 0; tries < 3; tries++) {
            later(tries * 400L, () -> {
                if (!decided[0]) {
                    ask(key, new BeginRun(key, attempt, nonce, "hash", made), run -> {
                        if (!decided[0]) {
                            decided[0] = true;
                            decide(key, attempt, nonce, made, run);
                        }
                    });
                }
            });
        }
    }

    private void decide(RunKey key, AttemptId attempt, String nonce, long made, Run run) {
        if (run.state() == RunState.FINISHED) {
            checkAnswer(key, run);
            return;
        }
        if (run.state() != RunState.GRANTED || random.nextInt(100) < 10) {
            return;
        }
        if (random.nextInt(100) < 10) {
            ask(key, new AbandonRun(key, attempt, nonce, made), given -> {});
            return;
        }
        AttemptId other = runs.putIfAbsent(key, attempt);
        Invariant.check(other == null, () -> key + " runs twice: " + other + " and " + attempt);
        Invariant.check(!toldNotRun.contains(attempt), () -> attempt + " runs after it was told not to have run");
        if (random.nextInt(100) < 85) {
            RecordedAnswer answer =
                    new RecordedAnswer(201, "text/plain", attempt.value().getBytes());
            later(random.nextLong(300), () -> ask(key, new FinishRun(key, attempt, nonce, answer), done -> {}));
        }
    }

    private void checkAnswer(RunKey key, Run run) {
        replays++;
        String answer = new String(run.answer().body());
        AttemptId ran = runs.get(key);
        Invariant.check(
                ran != null && ran.value().equals(answer),
                () -> key + " is answered by " + answer + ", but " + ran + " ran");
    }
}
