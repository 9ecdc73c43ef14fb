package org.bamboohatch.entry.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.bamboohatch.kernel.id.AttemptId;
import org.bamboohatch.kernel.id.ModelName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.message.Load;
import org.bamboohatch.protocol.message.TargetAnnouncement;
import org.bamboohatch.protocol.transport.Link;
import org.bamboohatch.routing.retry.TargetHealth;
import org.bamboohatch.routing.target.TargetView;

/**
 * A target as one entry sees it: its last report, corrected by what the entry has done since. Used on the
 * dispatcher's thread only.
 */
final class TargetConnection {

    /** The link to the agent. */
    private final Link link;

    /** The target. */
    private TargetAnnouncement announcement;

    /** The last report. */
    private Load load = Load.IDLE;

    /** The health. */
    private TargetHealth health = TargetHealth.HEALTHY;

    /** Whether the link is open. */
    private boolean connected;

    /** Whether the target has departed. */
    private boolean departed;

    /** Runs of this entry. */
    private final Map<AttemptId, OwnRun> runs = new HashMap<>();

    /** Memory released since the last report, in tokens. */
    private long releasedTokens;

    /** Runs ended since the last report. */
    private int releasedRuns;

    /** Prompt tokens processed since the last report, by priority. */
    private final long[] processed = new long[Load.PRIORITIES];

    /**
     * Creates a connection.
     *
     * @param announcement the target
     * @param link the link to the agent
     */
    TargetConnection(TargetAnnouncement announcement, Link link) {
        this.announcement = announcement;
        this.link = link;
    }

    /**
     * Returns the link to the agent.
     *
     * @return the link
     */
    Link link() {
        return link;
    }

    /**
     * Returns the target.
     *
     * @return the last announcement
     */
    TargetAnnouncement announcement() {
        return announcement;
    }

    /**
     * Takes a new announcement.
     *
     * @param next the announcement
     */
    void announce(TargetAnnouncement next) {
        announcement = next;
        departed = false;
    }

    /** Takes note that the target has departed. */
    void depart() {
        departed = true;
    }

    /**
     * Tells whether the connection is not needed any more.
     *
     * @return whether the target has departed and none of this entry's runs is left
     */
    boolean isSpent() {
        return departed && runs.isEmpty();
    }

    /**
     * Sets whether the link is open.
     *
     * @param open whether it is open
     */
    void connected(boolean open) {
        connected = open;
    }

    /**
     * Takes a report.
     *
     * @param next the load
     */
    void report(Load next) {
        load = next;
        releasedTokens = 0;
        releasedRuns = 0;
        java.util.Arrays.fill(processed, 0);
    }

    /**
     * Takes note of a dispatched run.
     *
     * @param attempt the attempt
     * @param run the run
     * @param now the present time
     */
    void dispatched(AttemptId attempt, OwnRun run, long now) {
        runs.put(attempt, run);
        health = health.afterDispatch(now);
    }

    /**
     * Takes note that a run was accepted.
     *
     * @param attempt the attempt
     * @param next the load with the run
     */
    void accepted(AttemptId attempt, Load next) {
        runs.computeIfPresent(attempt, (key, run) -> run.withReport());
        report(next);
    }

    /**
     * Takes note of the first token of a run.
     *
     * @param attempt the attempt
     */
    void firstToken(AttemptId attempt) {
        OwnRun run = runs.get(attempt);
        if (run != null && !run.hasFirstToken()) {
            runs.put(attempt, run.withFirstToken());
            if (run.reported()) {
                processed[run.priority()] += run.promptTokens();
            }
        }
    }

    /**
     * Takes note that a run has ended.
     *
     * @param attempt the attempt
     */
    void ended(AttemptId attempt) {
        OwnRun run = runs.remove(attempt);
        if (run != null && run.reported()) {
            releasedTokens += run.memoryTokens();
            releasedRuns++;
            if (!run.hasFirstToken()) {
                processed[run.priority()] += run.promptTokens();
            }
        }
    }

    /** Takes note of a success. */
    void succeeded() {
        health = health.afterSuccess();
    }

    /**
     * Takes note of a failure.
     *
     * @param now the present time, in milliseconds
     */
    void failed(long now) {
        health = health.afterFailure(now);
    }

    /**
     * Tells whether a model is loaded.
     *
     * @param model the model, or null for a plain service
     * @return whether the target can serve it
     */
    boolean serves(ModelName model) {
        return model == null || announcement.hasModel(model);
    }

    /**
     * Describes the target for the routing decisions.
     *
     * @param zone the entry's availability zone
     * @param now the present time, in milliseconds
     * @return the description
     */
    TargetView view(ZoneName zone, long now) {
        long pendingTokens = 0;
        long heldByLong = 0;
        int pendingRuns = 0;
        List<Long> waiting = new ArrayList<>(Load.PRIORITIES);
        for (int priority = 0; priority < Load.PRIORITIES; priority++) {
            waiting.add(Math.max(0, load.waitingTokens().get(priority) - processed[priority]));
        }
        for (OwnRun run : runs.values()) {
            heldByLong += run.isLong() ? run.memoryTokens() : 0;
            if (!run.reported()) {
                pendingTokens += run.memoryTokens();
                pendingRuns++;
                waiting.set(run.priority(), waiting.get(run.priority()) + run.promptTokens());
            }
        }
        boolean available =
                connected && !departed && !announcement.leaving() && !load.draining() && health.isAvailable(now);
        return new TargetView(
                announcement.target(),
                announcement.zone().equals(zone),
                announcement.memoryTokens(),
                Math.max(0, load.reservedTokens() - releasedTokens) + pendingTokens,
                heldByLong,
                Math.max(0, load.runs() - releasedRuns) + pendingRuns,
                announcement.maximumRuns(),
                waiting,
                load.millisPerPromptToken(),
                available);
    }
}
