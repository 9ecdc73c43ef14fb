package org.bamboohatch.control.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.bamboohatch.document.ModelSpecification;
import org.bamboohatch.document.ServiceDocument;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.protocol.message.ControlReply.PlacementAction;
import org.bamboohatch.protocol.message.ControlReply.PlacementOrder;
import org.bamboohatch.protocol.message.LoadedModel;
import org.bamboohatch.protocol.message.TargetAnnouncement;

/**
 * Plans which models each engine should load and unload so that the engines match the service documents. Every plan is
 * derived from the latest announcements alone, so that a lost order is repeated and a completed one disappears.
 */
public final class PlacementPlanner {

    /** Maximum number of concurrent model loads, which limits the rate at which the store of model weights is read. */
    public static final int MAX_CONCURRENT_LOADS = 2;

    private PlacementPlanner() {}

    /**
     * Plans the placement orders of all targets.
     *
     * @param documents the current service documents
     * @param targets the targets that have a lease
     * @return the orders by target, without an entry for a target that has none
     */
    public static Map<TargetName, List<PlacementOrder>> plan(
            Collection<ServiceDocument> documents, Collection<TargetAnnouncement> targets) {
        Map<TargetName, List<PlacementOrder>> orders = new HashMap<>();
        int loads = 0;
        for (ServiceDocument document : documents) {
            List<TargetAnnouncement> engines = targets.stream()
                    .filter(target -> target.service().equals(document.service()))
                    .filter(target -> !target.leaving())
                    .sorted(Comparator.comparing(TargetAnnouncement::target))
                    .toList();
            for (ModelSpecification model : document.models()) {
                loads += planLoads(model, engines, MAX_CONCURRENT_LOADS - loads, orders);
            }
            planUnloads(document, engines, orders);
        }
        return orders;
    }

    /**
     * Plans the loads of one model. Engines that have another version of it are preferred, then those with the fewest
     * models; an engine that has an order already gets no second one.
     *
     * @param model the specified model
     * @param engines the engines of the service that are not leaving
     * @param allowed maximum number of loads to order
     * @param orders receives the orders
     * @return the number of ordered loads
     */
    private static int planLoads(
            ModelSpecification model,
            List<TargetAnnouncement> engines,
            int allowed,
            Map<TargetName, List<PlacementOrder>> orders) {
        LoadedModel specified = new LoadedModel(model.name(), model.version());
        long missing = model.engines()
                - engines.stream()
                        .filter(engine -> engine.models().contains(specified))
                        .count();
        int ordered = 0;
        while (ordered < missing && ordered < allowed) {
            Optional<TargetAnnouncement> engine = engines.stream()
                    .filter(candidate -> !candidate.models().contains(specified))
                    .filter(candidate -> !orders.containsKey(candidate.target()))
                    .min(Comparator.comparing((TargetAnnouncement candidate) -> !candidate.hasModel(model.name()))
                            .thenComparing(candidate -> candidate.models().size())
                            .thenComparing(TargetAnnouncement::target));
            if (engine.isEmpty()) {
                break;
            }
            add(orders, engine.get(), PlacementAction.LOAD, specified);
            ordered++;
        }
        return ordered;
    }

    /**
     * Plans the unloads of models and versions that the document of the service does not specify. Another version of a
     * specified model is unloaded only when the engine has the specified version.
     *
     * @param document the service document
     * @param engines the engines of the service that are not leaving
     * @param orders receives the orders
     */
    private static void planUnloads(
            ServiceDocument document, List<TargetAnnouncement> engines, Map<TargetName, List<PlacementOrder>> orders) {
        for (TargetAnnouncement engine : engines) {
            for (LoadedModel loaded : engine.models()) {
                Optional<ModelSpecification> specification = document.model(loaded.name());
                boolean specified = specification
                        .map(model -> model.version().equals(loaded.version()))
                        .orElse(false);
                boolean replaced = specification
                        .map(model -> engine.models().contains(new LoadedModel(model.name(), model.version())))
                        .orElse(true);
                if (!specified && replaced) {
                    add(orders, engine, PlacementAction.UNLOAD, loaded);
                }
            }
        }
    }

    private static void add(
            Map<TargetName, List<PlacementOrder>> orders,
            TargetAnnouncement engine,
            PlacementAction action,
            LoadedModel model) {
        orders.computeIfAbsent(engine.target(), added -> new ArrayList<>()).add(new PlacementOrder(action, model));
    }
}
