package org.bamboohatch.control.server;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import org.apache.logging.log4j.LogManager;
import org.apache.logging.log4j.Logger;
import org.bamboohatch.control.state.FleetStateMachine;
import org.bamboohatch.document.fleet.FleetConfiguration;
import org.bamboohatch.document.fleet.FleetFormat;
import org.bamboohatch.document.fleet.FleetService;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.outcome.Result;
import org.bamboohatch.kernel.plugin.Plugins;
import org.bamboohatch.protocol.message.FleetText;

/** The services that the fleet configuration names; used on the replica's thread only. */
final class NamedServices {

    private static final Logger LOGGER = LogManager.getLogger(NamedServices.class);

    private final Plugins<FleetFormat> formats = Plugins.load(FleetFormat.class);

    private final FleetStateMachine fleet;

    /** Version of the configuration that was read last, {@link Long#MIN_VALUE} before the first. */
    private long version = Long.MIN_VALUE;

    /** The named services, empty if no configuration could be read. */
    private Optional<Set<ServiceName>> names = Optional.empty();

    NamedServices(FleetStateMachine fleet) {
        this.fleet = fleet;
    }

    /**
     * Reads the configuration if it was replaced.
     *
     * @return whether it was
     */
    boolean refresh() {
        if (fleet.version() == version) {
            return false;
        }
        version = fleet.version();
        names = Optional.ofNullable(fleet.current()).flatMap(this::read);
        return true;
    }

    private Optional<Set<ServiceName>> read(FleetText text) {
        Result<FleetConfiguration, List<String>> result = text.parse(formats);
        if (result instanceof Result.Success<FleetConfiguration, List<String>> success) {
            return Optional.of(success.value().services().stream()
                    .map(FleetService::name)
                    .collect(Collectors.toUnmodifiableSet()));
        }
        LOGGER.error("targets: configuration {} cannot be read, all services count as named: {}", version, result);
        return Optional.empty();
    }

    /**
     * Indicates whether the configuration names a service.
     *
     * @param service name of the service
     * @return true as well while there is no configuration
     */
    boolean contains(ServiceName service) {
        return names.isEmpty() || names.get().contains(service);
    }
}
