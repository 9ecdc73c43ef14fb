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
 * Decides what each engine should load and unload so that the documents hold. Orders are derived anew from what the
 * engines announce, so that a lost order is repeated and a carried-out one disappears.
 */
public final class PlacementPlanner {

    /** Loads that may be under way at the same time, which bounds the rate at the weight store. */
    public static final int MAX_CONCURRENT_LOADS = 2;

    /** Not instantiated. */
    private PlacementPlanner() {}

    /**
     * Plans orders.
     *
     * @param documents the service documents
     * @param targets the targets with a lease
     * @return the orders by target
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
     * Plans loads of one model.
     *
     * @param model the model
     * @param engines the engines of the service
     * @param allowed loads that may still be ordered
     * @param orders receives the orders
     * @return the number of ordered loads
     */
    private static int planLoads(
            ModelSpecification model,
            List<TargetAnnouncement> engines,
            int allowed,
            Map<TargetName, List<PlacementOrder>> orders) {
        LoadedModel wanted = new LoadedModel(model.name(), model.version());
        long missing = model.engines()
                - engines.stream()
                        .filter(engine -> engine.models().contains(wanted))
                        .count();
        int ordered = 0;
        while (ordered < missing && ordered < allowed) {
            Optional<TargetAnnouncement> engine = engines.stream()
                    .filter(candidate -> !candidate.models().contains(wanted))
                    .filter(candidate -> !orders.containsKey(candidate.target()))
                    .min(Comparator.comparing((TargetAnnouncement candidate) -> !candidate.hasModel(model.name()))
                            .thenComparing(candidate -> candidate.models().size())
                            .thenComparing(TargetAnnouncement::target));
            if (engine.isEmpty()) {
                break;
            }
            add(orders, engine.get(), PlacementAction.LOAD, wanted);
            ordered++;
        }
        return ordered;
    }

    /**
     * Plans unloads of models and versions that no document names any more, once the wanted version is in place.
     *
     * @param document the document
     * @param engines the engines of the service
     * @param orders receives the orders
     */
    private static void planUnloads(
            ServiceDocument document, List<TargetAnnouncement> engines, Map<TargetName, List<PlacementOrder>> orders) {
        for (TargetAnnouncement engine : engines) {
            for (LoadedModel loaded : engine.models()) {
                Optional<ModelSpecification> specification = document.model(loaded.name());
                boolean named = specification
                        .map(model -> model.version().equals(loaded.version()))
                        .orElse(false);
                boolean replaced = specification
                        .map(model -> engine.models().contains(new LoadedModel(model.name(), model.version())))
                        .orElse(true);
                if (!named && replaced) {
                    add(orders, engine, PlacementAction.UNLOAD, loaded);
                }
            }
        }
    }

    /**
     * Adds an order.
     *
     * @param orders the orders
     * @param engine the engine
     * @param action what to do
     * @param model the model
     */
    private static void add(
            Map<TargetName, List<PlacementOrder>> orders,
            TargetAnnouncement engine,
            PlacementAction action,
            LoadedModel model) {
        orders.computeIfAbsent(engine.target(), added -> new ArrayList<>()).add(new PlacementOrder(action, model));
    }
}
