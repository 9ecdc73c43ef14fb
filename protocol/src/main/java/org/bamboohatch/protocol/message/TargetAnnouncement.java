package org.bamboohatch.protocol.message;

import java.util.List;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ModelName;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;

/**
 * Describes a target to the control processes.
 *
 * @param target name of the target
 * @param service name of the service that the target belongs to
 * @param host name of the host that the target runs on
 * @param zone availability zone of the host
 * @param address address at which requests for the target are received, host and port
 * @param incarnation number of the start of the agent or directly registered target, larger for later starts
 * @param models the models that the target has loaded
 * @param memoryTokens KV memory of an engine in tokens, zero for a plain service
 * @param maximumRuns maximum number of concurrent runs at the target
 * @param leaving whether the target accepts no new requests
 * @param sequence number of the announcement within its incarnation, zero if announcements are not numbered
 * @param coldMillis time for which the target is still cold, in milliseconds; null if it does not say so, which differs from
 *     zero, as zero ends a cold state that was heard of otherwise
 * @param coldAgeMillis time since the target announced {@code coldMillis}, in milliseconds, as told by control to gateways;
 *     null means zero
 */
public record TargetAnnouncement(
        TargetName target,
        ServiceName service,
        HostName host,
        ZoneName zone,
        String address,
        long incarnation,
        List<LoadedModel> models,
        long memoryTokens,
        int maximumRuns,
        boolean leaving,
        long sequence,
        Long coldMillis,
        Long coldAgeMillis) {

    /**
     * Creates an announcement that says nothing of a cold state.
     *
     * @param target name of the target
     * @param service name of the service that the target belongs to
     * @param host name of the host that the target runs on
     * @param zone availability zone of the host
     * @param address address at which requests for the target are received, host and port
     * @param incarnation number of the start of the agent or directly registered target, larger for later starts
     * @param models the models that the target has loaded
     * @param memoryTokens KV memory of an engine in tokens, zero for a plain service
     * @param maximumRuns maximum number of concurrent runs at the target
     * @param leaving whether the target accepts no new requests
     * @param sequence number of the announcement within its incarnation, zero if announcements are not numbered
     */
    public TargetAnnouncement(
            TargetName target,
            ServiceName service,
            HostName host,
            ZoneName zone,
            String address,
            long incarnation,
            List<LoadedModel> models,
            long memoryTokens,
            int maximumRuns,
            boolean leaving,
            long sequence) {
        this(
                target,
                service,
                host,
                zone,
                address,
                incarnation,
                models,
                memoryTokens,
                maximumRuns,
                leaving,
                sequence,
                null,
                null);
    }

    /**
     * Creates an announcement without a sequence number.
     *
     * @param target name of the target
     * @param service name of the service that the target belongs to
     * @param host name of the host that the target runs on
     * @param zone availability zone of the host
     * @param address address at which requests for the target are received, host and port
     * @param incarnation number of the start of the agent or directly registered target, larger for later starts
     * @param models the models that the target has loaded
     * @param memoryTokens KV memory of an engine in tokens, zero for a plain service
     * @param maximumRuns maximum number of concurrent runs at the target
     * @param leaving whether the target accepts no new requests
     */
    public TargetAnnouncement(
            TargetName target,
            ServiceName service,
            HostName host,
            ZoneName zone,
            String address,
            long incarnation,
            List<LoadedModel> models,
            long memoryTokens,
            int maximumRuns,
            boolean leaving) {
        this(target, service, host, zone, address, incarnation, models, memoryTokens, maximumRuns, leaving, 0);
    }

    /**
     * Indicates whether another announcement describes the same target in the same state, apart from its cold time, which
     * counts down from one announcement to the next.
     *
     * @param other the announcement to compare with
     * @return {@code true} if the announcements differ at most in their sequence numbers and cold times
     */
    public boolean equalsIgnoringSequence(TargetAnnouncement other) {
        return with(other.sequence, other.coldMillis, other.coldAgeMillis).equals(other);
    }

    /**
     * Returns this announcement with the time since it was heard.
     *
     * @param millis the time in milliseconds
     * @return the announcement; the same one if it says nothing of a cold state
     */
    public TargetAnnouncement withColdAge(long millis) {
        return coldMillis == null ? this : with(sequence, coldMillis, millis);
    }

    /**
     * Returns this announcement with a cold time.
     *
     * @param millis time for which the target is still cold, in milliseconds
     * @return the announcement
     */
    public TargetAnnouncement withColdMillis(long millis) {
        return with(sequence, millis, null);
    }

    private TargetAnnouncement with(long otherSequence, Long otherColdMillis, Long otherColdAgeMillis) {
        return new TargetAnnouncement(
                target,
                service,
                host,
                zone,
                address,
                incarnation,
                models,
                memoryTokens,
                maximumRuns,
                leaving,
                otherSequence,
                otherColdMillis,
                otherColdAgeMillis);
    }

    /**
     * Indicates whether any version of a model is loaded.
     *
     * @param name name of the model
     * @return {@code true} if the target has loaded at least one version
     */
    public boolean hasModel(ModelName name) {
        return models.stream().anyMatch(model -> model.name().equals(name));
    }

    /** Creates an announcement with an immutable list of models. */
    public TargetAnnouncement {
        models = List.copyOf(models);
    }
}
