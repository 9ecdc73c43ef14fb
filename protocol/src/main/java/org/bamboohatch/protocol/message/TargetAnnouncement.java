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
     * Indicates whether another announcement describes the same target in the same state.
     *
     * @param other the announcement to compare with
     * @return {@code true} if the announcements differ at most in their sequence numbers
     */
    public boolean equalsIgnoringSequence(TargetAnnouncement other) {
        return withSequence(other.sequence).equals(other);
    }

    private TargetAnnouncement withSequence(long otherSequence) {
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
                otherSequence);
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
