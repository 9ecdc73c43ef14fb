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
 * State of a target as one entry knows it: the latest load report, corrected by the runs that this entry has dispatched
 * or ended since. Confined to the dispatcher's thread.
 */
final class TargetConnection {

    private final Link link;

    private TargetAnnouncement announcement;

    /** Load in the latest report. */
    private Load load = Load.IDLE;

    private TargetHealth health = TargetHealth.HEALTHY;

    private boolean connected;

    private boolean departed;

    /** Runs that this entry has dispatched and that have not ended. */
    private final Map<AttemptId, DispatchedRun> runs = new HashMap<>();

    /** KV memory of the runs that have ended since the latest report, in tokens. */
    private long releasedTokens;

    /** Number of runs that have ended since the latest report. */
    private int releasedRuns;

    /** Prompt tokens that have left the prefill queue since the latest report, by priority. */
    private final long[] prefilledTokens = new long[Load.PRIORITIES];

    TargetConnection(TargetAnnouncement announcement, Link link) {
        this.announcement = announcement;
        this.link = link;
    }

    Link link() {
        return link;
    }

    TargetAnnouncement announcement() {
        return announcement;
    }

    /**
     * Replaces the announcement; a target that had departed is a member again.
     *
     * @param next the latest announcement of the target
     */
    void updateAnnouncement(TargetAnnouncement next) {
        announcement = next;
        departed = false;
    }

    /** Records that the target is no longer selected by this entry; its runs continue. */
    void markDeparted() {
        departed = true;
    }

    /**
     * Indicates whether the connection can be closed.
     *
     * @return {@code true} if the target has departed and no run of this entry is left
     */
    boolean isUnused() {
        return departed && runs.isEmpty();
    }

    void setConnected(boolean open) {
        connected = open;
    }

    /**
     * Replaces the load by a new report and discards the corrections to the previous one.
     *
     * @param next the reported load
     */
    void updateLoad(Load next) {
        load = next;
        releasedTokens = 0;
        releasedRuns = 0;
        java.util.Arrays.fill(prefilledTokens, 0);
    }

    /**
     * Records that a run was dispatched.
     *
     * @param attempt identifier of the attempt
     * @param run the run, which no report includes yet
     * @param now current monotonic time, in milliseconds
     */
    void runDispatched(AttemptId attempt, DispatchedRun run, long now) {
        runs.put(attempt, run);
        health = health.afterDispatch(now);
    }

    /**
     * Records that the target accepted a run.
     *
     * @param attempt identifier of the attempt
     * @param next the reported load, which includes the run
     */
    void runAccepted(AttemptId attempt, Load next) {
        runs.computeIfPresent(attempt, (key, run) -> run.withReport());
        updateLoad(next);
    }

    /**
     * Records that the prefill of a run has ended.
     *
     * @param attempt identifier of the attempt
     */
    void firstTokenReceived(AttemptId attempt) {
        DispatchedRun run = runs.get(attempt);
        if (run != null && !run.hasFirstToken()) {
            runs.put(attempt, run.withFirstToken());
            if (run.reported()) {
                prefilledTokens[run.priority()] += run.promptTokens();
            }
        }
    }

    /**
     * Records that a run has ended and released its memory. Without a first token its prompt leaves the prefill queue
     * too.
     *
     * @param attempt identifier of the attempt
     */
    void runEnded(AttemptId attempt) {
        DispatchedRun run = runs.remove(attempt);
        if (run != null && run.reported()) {
            releasedTokens += run.memoryTokens();
            releasedRuns++;
            if (!run.hasFirstToken()) {
                prefilledTokens[run.priority()] += run.promptTokens();
            }
        }
    }

    void recordSuccess() {
        health = health.afterSuccess();
    }

    void recordFailure(long now) {
        health = health.afterFailure(now);
    }

    /**
     * Indicates whether the target can serve requests for a model.
     *
     * @param model the model, or {@code null} for a plain service
     * @return {@code true} if the target has loaded the model or no model is needed
     */
    boolean serves(ModelName model) {
        return model == null || announcement.hasModel(model);
    }

    /**
     * Returns the target as the routing policy sees it.
     *
     * @param zone availability zone of the entry
     * @param now current monotonic time, in milliseconds
     * @return the view, based on the latest report and its corrections
     */
    TargetView view(ZoneName zone, long now) {
        long unreportedTokens = 0;
        long longPromptTokens = 0;
        int unreportedRuns = 0;
        List<Long> waitingTokens = new ArrayList<>(Load.PRIORITIES);
        for (int priority = 0; priority < Load.PRIORITIES; priority++) {
            waitingTokens.add(Math.max(0, load.waitingTokens().get(priority) - prefilledTokens[priority]));
        }
        for (DispatchedRun run : runs.values()) {
            longPromptTokens += run.isLong() ? run.memoryTokens() : 0;
            if (!run.reported()) {
                unreportedTokens += run.memoryTokens();
                unreportedRuns++;
                waitingTokens.set(run.priority(), waitingTokens.get(run.priority()) + run.promptTokens());
            }
        }
        boolean available =
                connected && !departed && !announcement.leaving() && !load.draining() && health.isAvailable(now);
        return new TargetView(
                announcement.target(),
                announcement.zone().equals(zone),
                announcement.memoryTokens(),
                Math.max(0, load.reservedTokens() - releasedTokens) + unreportedTokens,
                longPromptTokens,
                Math.max(0, load.runs() - releasedRuns) + unreportedRuns,
                announcement.maximumRuns(),
                waitingTokens,
                load.millisPerPromptToken(),
                available);
    }
}
