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
 * An immutable copy of the configuration and the membership as an entry knows them.
 *
 * @param revision revision of the configuration
 * @param services configuration of each service
 * @param membershipEpoch epoch of the membership; a new epoch begins with a complete list of targets
 * @param membershipVersion version of the membership within its epoch
 * @param targets announcements of the targets in the membership
 * @param ledgerTime latest known ledger time, in milliseconds
 * @param entryCount number of entries that admit requests, at least one
 * @param confirmedAt monotonic time at which the poll that confirmed this snapshot was sent, in milliseconds
 */
public record RoutingSnapshot(
        long revision,
        Map<ServiceName, ServiceConfiguration> services,
        long membershipEpoch,
        long membershipVersion,
        Map<TargetName, TargetAnnouncement> targets,
        long ledgerTime,
        int entryCount,
        long confirmedAt) {

    /** Time since the last confirmation after which a snapshot counts as stale, in milliseconds. */
    public static final long MAX_AGE_MS = 2_500;

    /** Snapshot of an entry that has received no configuration yet; it is never fresh. */
    public static final RoutingSnapshot EMPTY =
            new RoutingSnapshot(0, Map.of(), 0, 0, Map.of(), 0, 1, Long.MIN_VALUE / 2);

    /** Creates a snapshot with immutable copies of the maps. */
    public RoutingSnapshot {
        services = Map.copyOf(services);
        targets = Map.copyOf(targets);
    }

    /**
     * Indicates whether control has confirmed this snapshot within {@link #MAX_AGE_MS}.
     *
     * @param now current monotonic time, in milliseconds
     * @return {@code true} if the snapshot is fresh
     */
    public boolean isFresh(long now) {
        return now - confirmedAt <= MAX_AGE_MS;
    }

    /**
     * Finds a service that offers a model.
     *
     * @param model name of the model
     * @return the configuration of the service, or empty if no service offers the model
     */
    public Optional<ServiceConfiguration> serviceForModel(ModelName model) {
        return services.values().stream()
                .filter(service -> service.document().model(model).isPresent())
                .findFirst();
    }

    /**
     * Returns a snapshot with the changes of a poll reply applied. A new membership epoch replaces all targets.
     *
     * @param changes the reply, whose revision must not be lower than that of this snapshot
     * @param sentAt monotonic time at which the poll was sent, in milliseconds
     * @return the new snapshot
     */
    public RoutingSnapshot apply(Changes changes, long sentAt) {
        Invariant.check(
                changes.revision() >= revision,
                () -> "configuration revision decreased from " + revision + " to " + changes.revision());
        Map<ServiceName, ServiceConfiguration> nextServices = new HashMap<>(services);
        for (DocumentVersion version : changes.documents()) {
            applyDocument(nextServices, version);
        }
        Map<TargetName, TargetAnnouncement> nextTargets = new HashMap<>(targets);
        if (changes.epoch() != membershipEpoch || changes.whole()) {
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

    private static void applyDocument(Map<ServiceName, ServiceConfiguration> services, DocumentVersion version) {
        ServiceConfiguration current = services.get(version.service());
        if (current != null && current.revision() >= version.revision()) {
            return;
        }
        Result<ServiceDocument, List<SettingsError>> result =
                DocumentReader.read(version.service().value(), version.text());
        if (result instanceof Result.Success<ServiceDocument, List<SettingsError>> success) {
            services.put(version.service(), ServiceConfiguration.of(success.value(), version.revision()));
        }
    }
}
