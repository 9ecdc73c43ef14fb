package org.bamboohatch.entry.configuration;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.bamboohatch.document.DocumentReader;
import org.bamboohatch.document.ServiceDocument;
import org.bamboohatch.kernel.id.ModelName;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.outcome.Result;
import org.bamboohatch.kernel.service.Invariant;
import org.bamboohatch.kernel.settings.SettingsError;
import org.bamboohatch.protocol.message.ControlReply.Changes;
import org.bamboohatch.protocol.message.DocumentVersion;
import org.bamboohatch.protocol.message.TargetAnnouncement;

/**
 * An entry's copy of the configuration and the membership; each change makes a new copy.
 *
 * @param revision the latest revision
 * @param services the services
 * @param epoch epoch of the membership
 * @param version version of the membership
 * @param targets the targets
 * @param ledgerTime the latest known ledger time, in milliseconds
 * @param entries number of entries that admit requests
 * @param freshAt time at which the poll that confirmed this copy was sent, in milliseconds
 */
public record RoutingSnapshot(
        long revision,
        Map<ServiceName, ServiceConfiguration> services,
        long epoch,
        long version,
        Map<TargetName, TargetAnnouncement> targets,
        long ledgerTime,
        int entries,
        long freshAt) {

    /** Silence of control after which the copy may be stale, in milliseconds. */
    public static final long FRESHNESS_MS = 2_500;

    /** The copy of an entry that has heard nothing. */
    public static final RoutingSnapshot NONE =
            new RoutingSnapshot(0, Map.of(), 0, 0, Map.of(), 0, 1, Long.MIN_VALUE / 2);

    /** Makes the maps immutable. */
    public RoutingSnapshot {
        services = Map.copyOf(services);
        targets = Map.copyOf(targets);
    }

    /**
     * Tells whether the copy is shown to be fresh.
     *
     * @param now the present time, in milliseconds
     * @return whether control has confirmed it within the bound
     */
    public boolean isFresh(long now) {
        return now - freshAt <= FRESHNESS_MS;
    }

    /**
     * Finds the service that offers a model.
     *
     * @param model the model
     * @return the service
     */
    public Optional<ServiceConfiguration> serviceOf(ModelName model) {
        return services.values().stream()
                .filter(service -> service.document().model(model).isPresent())
                .findFirst();
    }

    /**
     * Applies changes.
     *
     * @param changes the changes
     * @param sentAt time at which the poll was sent, in milliseconds
     * @return the new copy
     */
    public RoutingSnapshot apply(Changes changes, long sentAt) {
        Invariant.check(
                changes.revision() >= revision,
                () -> "configuration goes back from " + revision + " to " + changes.revision());
        Map<ServiceName, ServiceConfiguration> nextServices = new HashMap<>(services);
        for (DocumentVersion version : changes.documents()) {
            applyDocument(nextServices, version);
        }
        Map<TargetName, TargetAnnouncement> nextTargets = new HashMap<>(targets);
        if (changes.epoch() != epoch) {
            nextTargets.clear();
        }
        changes.joined().forEach(target -> nextTargets.put(target.target(), target));
        changes.departed().forEach(nextTargets::remove);
        return new RoutingSnapshot(
                changes.revision(),
                nextServices,
                changes.epoch(),
                changes.version(),
                nextTargets,
                Math.max(ledgerTime, changes.ledgerTime()),
                Math.max(1, changes.entries()),
                sentAt);
    }

    /**
     * Puts a document in place unless a newer one is there.
     *
     * @param services the services
     * @param version the document
     */
    private static void applyDocument(Map<ServiceName, ServiceConfiguration> services, DocumentVersion version) {
        ServiceConfiguration present = services.get(version.service());
        if (present != null && present.revision() >= version.revision()) {
            return;
        }
        Result<ServiceDocument, List<SettingsError>> result =
                DocumentReader.read(version.service().value(), version.text());
        if (result instanceof Result.Success<ServiceDocument, List<SettingsError>> success) {
            services.put(version.service(), ServiceConfiguration.of(success.value(), version.revision()));
        }
    }
}
