package org.bamboohatch.control.placement;

import java.util.List;
import java.util.Map;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.bamboohatch.document.DocumentReader;
import org.bamboohatch.document.ServiceDocument;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ModelName;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.kernel.outcome.Result;
import org.bamboohatch.protocol.message.ControlReply.PlacementAction;
import org.bamboohatch.protocol.message.ControlReply.PlacementOrder;
import org.bamboohatch.protocol.message.LoadedModel;
import org.bamboohatch.protocol.message.TargetAnnouncement;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class PlacementPlannerTest {

    private static final LoadedModel OLD = new LoadedModel(new ModelName("glass"), "1");
    private static final LoadedModel NEW = new LoadedModel(new ModelName("glass"), "2");

    private static ServiceDocument document(int engines) {
        String text = """
                service: assistant
                kind: engines
                accounts: []
                models: [{name: glass, version: "2", engines: %d}]
                """.formatted(engines);
        return ((Result.Success<ServiceDocument, ?>) DocumentReader.read("test", text)).value();
    }

    private static TargetAnnouncement engine(int number, LoadedModel... models) {
        return new TargetAnnouncement(
                new TargetName("engine-" + number),
                new ServiceName("assistant"),
                new HostName("host"),
                new ZoneName("zone"),
                "127.0.0.1:1",
                1,
                List.of(models),
                1,
                1,
                false);
    }

    private static Map<TargetName, List<PlacementOrder>> plan(int engines, TargetAnnouncement... targets) {
        return PlacementPlanner.plan(List.of(document(engines)), List.of(targets));
    }

    @Test
    void concurrentLoadsAreLimited() {
        TargetAnnouncement[] empty =
                IntStream.range(0, 6).mapToObj(PlacementPlannerTest::engine).toArray(TargetAnnouncement[]::new);
        assertThat(plan(5, empty)).hasSize(PlacementPlanner.MAX_CONCURRENT_LOADS);
    }

    @Test
    void noOrdersWhenEnginesMatchDocument() {
        assertThat(plan(1, engine(1, NEW), engine(2))).isEmpty();
    }

    @Test
    void engineWithOldVersionIsPreferredForLoad() {
        Map<TargetName, List<PlacementOrder>> orders = plan(1, engine(1), engine(2, OLD));
        assertThat(orders)
                .containsEntry(new TargetName("engine-2"), List.of(new PlacementOrder(PlacementAction.LOAD, NEW)));
    }

    @Test
    void oldVersionIsUnloadedOnlyAfterNewOneIsLoaded() {
        assertThat(plan(1, engine(1, OLD)).values().stream().flatMap(List::stream))
                .noneMatch(order -> order.action() == PlacementAction.UNLOAD);
        assertThat(plan(1, engine(1, OLD, NEW)).get(new TargetName("engine-1")))
                .containsExactly(new PlacementOrder(PlacementAction.UNLOAD, OLD));
    }

    @Test
    void modelWithoutSpecificationIsUnloaded() {
        LoadedModel other = new LoadedModel(new ModelName("other"), "1");
        assertThat(plan(1, engine(1, NEW, other)).get(new TargetName("engine-1")))
                .containsExactly(new PlacementOrder(PlacementAction.UNLOAD, other));
    }

    @Test
    void executingOrdersConvergesToDocument() {
        List<TargetAnnouncement> engines =
                Stream.of(1, 2, 3, 4).map(number -> engine(number, OLD)).toList();
        for (int round = 0; round < 20; round++) {
            Map<TargetName, List<PlacementOrder>> orders = PlacementPlanner.plan(List.of(document(4)), engines);
            engines = engines.stream().map(target -> execute(target, orders)).toList();
        }
        assertThat(engines).allSatisfy(target -> assertThat(target.models()).containsExactly(NEW));
    }

    private static TargetAnnouncement execute(TargetAnnouncement target, Map<TargetName, List<PlacementOrder>> orders) {
        List<LoadedModel> models = new java.util.ArrayList<>(target.models());
        for (PlacementOrder order : orders.getOrDefault(target.target(), List.of())) {
            if (order.action() == PlacementAction.LOAD) {
                models.add(order.model());
            } else {
                models.remove(order.model());
            }
        }
        return engine(Integer.parseInt(target.target().value().substring(7)), models.toArray(new LoadedModel[0]));
    }
}
