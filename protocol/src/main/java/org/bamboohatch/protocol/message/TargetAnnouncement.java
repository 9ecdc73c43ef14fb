package org.bamboohatch.protocol.message;

import java.util.List;

import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ModelName;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;

/**
 * What an agent tells about its target.
 *
 * @param target name of the target
 * @param service the service that the target belongs to
 * @param host host of the target
 * @param zone availability zone of the host
 * @param address address of the agent, host and port
 * @param incarnation number of the agent's start, larger for later starts
 * @param models the models that are loaded
 * @param memoryTokens KV memory of an engine in tokens, zero for a plain service
 * @param maximumRuns runs that the target takes at the same time
 * @param leaving whether the target takes no new work
 * @param sequence number of the announcement within the incarnation, zero if announcements are not numbered
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
        long sequence) {

    /**
     * Creates an announcement without a number.
     *
     * @param target name of the target
     * @param service the service that the target belongs to
     * @param host host of the target
     * @param zone availability zone of the host
     * @param address address of the agent, host and port
     * @param incarnation number of the agent's start, larger for later starts
     * @param models the models that are loaded
     * @param memoryTokens KV memory of an engine in tokens, zero for a plain service
     * @param maximumRuns runs that the target takes at the same time
     * @param leaving whether the target takes no new work
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
     * Tells whether another announcement describes the same target in the same state.
     *
     * @param other the other announcement
     * @return whether nothing but the number differs
     */
    public boolean equalsIgnoringSequence(TargetAnnouncement other) {
        return withSequence(other.sequence).equals(other);
    }

    /**
     * Returns a copy with another number.
     *
     * @param number the number
     * @return the copy
     */
    private TargetAnnouncement withSequence(long number) {
        return new TargetAnnouncement(
                target, service, host, zone, address, incarnation, models, memoryTokens, maximumRuns, leaving, number);
    }

    /**
     * Tells whether a model is loaded in any version.
     *
     * @param name name of the model
     * @return whether it is loaded
     */
    public boolean hasModel(ModelName name) {
        return models.stream().anyMatch(model -> model.name().equals(name));
    }

    /** Makes the list immutable. */
    public TargetAnnouncement {
        models = List.copyOf(models);
    }
}
