package org.bamboohatch.gateway.forward;

import java.io.IOException;
import java.io.InputStream;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.locks.LockSupport;

import io.micrometer.core.instrument.simple.SimpleMeterRegistry;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import org.bamboohatch.document.fleet.CallerLimits;
import org.bamboohatch.document.fleet.EngineCostModel;
import org.bamboohatch.document.fleet.FleetAccount;
import org.bamboohatch.document.fleet.FleetConfiguration;
import org.bamboohatch.document.fleet.FleetService;
import org.bamboohatch.document.fleet.Route;
import org.bamboohatch.document.fleet.RouteKind;
import org.bamboohatch.document.fleet.WeightedService;
import org.bamboohatch.gateway.Dialect;
import org.bamboohatch.gateway.GatewayClock;
import org.bamboohatch.gateway.GatewayMetrics;
import org.bamboohatch.gateway.GatewaySettings;
import org.bamboohatch.gateway.buffer.GatewayBuffers;
import org.bamboohatch.gateway.configuration.FleetView;
import org.bamboohatch.gateway.configuration.FleetViewSource;
import org.bamboohatch.gateway.configuration.RouteTable;
import org.bamboohatch.gateway.http.CallerServer;
import org.bamboohatch.gateway.load.ExchangedState;
import org.bamboohatch.gateway.load.LoadExchange;
import org.bamboohatch.kernel.id.AccountName;
import org.bamboohatch.kernel.id.HostName;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.id.TargetName;
import org.bamboohatch.kernel.id.ZoneName;
import org.bamboohatch.protocol.message.EvacuatedZones;
import org.bamboohatch.protocol.message.TargetAnnouncement;

/** The request path of a gateway in one process, with a configuration and membership that the test provides. */
final class GatewayHarness implements AutoCloseable, FleetViewSource {

    static final CallerLimits LIMITS = new CallerLimits(4_096, 20_000, 400, 3_000);

    /** Size of the stack of the event loop, small as where memory is scarce. */
    private static final long STACK_BYTES = 512 * 1024;

    private static final int SMALL_WINDOW_BYTES = 4_096;

    private static final ServiceName SERVICE = new ServiceName("portal");

    private static final ServiceName ENGINES = new ServiceName("engines");

    private static final EngineCostModel ENGINE =
            new EngineCostModel(11, 315_000, 51, 0.85, 0.006, 0.00285, 177_000, 0.184, 2_048, 200, 0.05, 11_000, 1_600);

    /** Limits of callers in the configuration that is applied next. */
    volatile CallerLimits limits = LIMITS;

    final Forwarder forwarder;

    final CallerServer callers;

    final SimpleMeterRegistry registry = new SimpleMeterRegistry();

    volatile long ageMillis;

    /** Incarnation of the targets that are announced next. */
    volatile long incarnation = 1;

    /** Availability zones of the targets that are announced next, by their number; zone-a for all others. */
    volatile List<String> zones = List.of();

    private volatile EvacuatedZones evacuated = EvacuatedZones.NONE;

    /** Requests per second that a cold target takes from all gateways, in the configuration that is applied next. */
    volatile double coldPerSecond;

    /** Time for which the process stalls after the arrival of the next request, in milliseconds. */
    private final AtomicLong nextStallMillis = new AtomicLong();

    /** Run by the event loop between the arrival of the next request and its placement. */
    private final AtomicReference<Runnable> atNextArrival = new AtomicReference<>(() -> {});

    private final EventLoop loop;

    private final int port;

    private final String exchangeAddress;

    private final LoadExchange exchange;

    private volatile FleetView view = FleetView.EMPTY;

    GatewayHarness(FakeTarget... targets) throws Exception {
        this(GatewayBuffers.ofHeap(1L << 30), targets);
    }

    GatewayHarness(GatewayBuffers buffers, FakeTarget... targets) throws Exception {
        this(buffers, 0, targets);
    }

    /** Creates a gateway at which generations wait for engines, up to a number. */
    GatewayHarness(int maximumWaiting, FakeTarget... targets) throws Exception {
        this(GatewayBuffers.ofHeap(1L << 30), maximumWaiting, targets);
    }

    private GatewayHarness(GatewayBuffers buffers, int maximumWaiting, FakeTarget... targets) throws Exception {
        try (ServerSocket free = new ServerSocket(0);
                DatagramSocket freeForDatagrams = new DatagramSocket(0, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
            exchangeAddress = "127.0.0.1:" + freeForDatagrams.getLocalPort();
        }
        ThreadFactory threads = task -> new Thread(null, task, "callers", STACK_BYTES);
        loop = (EventLoop) new MultiThreadIoEventLoopGroup(1, threads, NioIoHandler.newFactory()).next();
        GatewaySettings settings = new GatewaySettings(
                new HostName("gateway-1"),
                new ZoneName("zone-a"),
                "127.0.0.1:" + port,
                "",
                exchangeAddress,
                List.of("127.0.0.1:2"),
                4_000,
                0.2,
                50,
                10_000,
                3_500,
                60_000,
                1_000,
                maximumWaiting);
        ExchangedState state = ExchangedState.empty(settings);
        forwarder = new Forwarder(settings, Dialect.DEFAULT, loop, this, state, buffers, new GatewayMetrics(registry));
        exchange = new LoadExchange(settings, state, loop);
        exchange.start();
        callers = new CallerServer(new InetSocketAddress("127.0.0.1", port), loop, forwarder, () -> limits, buffers);
        callers.start();
        if (targets.length > 0) {
            apply(targets);
        }
    }

    void apply(FakeTarget... targets) throws Exception {
        applyAddresses(Arrays.stream(targets).map(FakeTarget::address).toList());
    }

    void applyAddresses(List<String> addresses) throws Exception {
        Map<TargetName, TargetAnnouncement> announcements = new HashMap<>();
        for (int number = 0; number < addresses.size(); number++) {
            ZoneName zone = new ZoneName(number < zones.size() ? zones.get(number) : "zone-a");
            announce(announcements, SERVICE, new TargetName("target-" + number), addresses.get(number), zone);
            announce(announcements, ENGINES, new TargetName("engine-" + number), addresses.get(number), zone);
        }
        apply(announcements);
    }

    private void apply(Map<TargetName, TargetAnnouncement> announcements) throws Exception {
        Optional<RouteTable> routeTable = Optional.of(new RouteTable(configuration()));
        view = new FleetView(routeTable, 1, 1, announcements, List.of(), evacuated);
        loop.submit(() -> forwarder.apply(view)).sync();
    }

    /** Evacuates exactly the given availability zones. */
    void evacuate(String... evacuatedZones) throws Exception {
        evacuated = nextEvacuation(evacuatedZones);
        apply(view.targets());
    }

    private EvacuatedZones nextEvacuation(String... evacuatedZones) {
        return EvacuatedZones.of(
                evacuated.version() + 1,
                Arrays.stream(evacuatedZones).map(ZoneName::new).toList());
    }

    /** Evacuates the given zones after the placement of the next request and before a connection for it is open. */
    void evacuateAfterPlacement(String... evacuatedZones) {
        FleetView next =
                new FleetView(view.routeTable(), 1, 1, view.targets(), List.of(), nextEvacuation(evacuatedZones));
        // Connections are opened by tasks, which run after this one.
        atNextArrival.set(() -> loop.execute(() -> forwarder.apply(next)));
    }

    private void announce(
            Map<TargetName, TargetAnnouncement> announcements,
            ServiceName service,
            TargetName name,
            String address,
            ZoneName zone) {
        HostName host = new HostName("host");
        announcements.put(
                name,
                new TargetAnnouncement(name, service, host, zone, address, incarnation, List.of(), 0, 4, false, 1));
    }

    private static Route route(String prefix, RouteKind kind, long timeout, boolean open) {
        ServiceName service = prefix.equals("/generate/") ? ENGINES : SERVICE;
        List<WeightedService> split = List.of(new WeightedService(service, 1));
        return new Route("r" + prefix, "beads.example", prefix, kind, timeout, 300, 1, split, 2, open, true, 250);
    }

    private FleetConfiguration configuration() {
        return new FleetConfiguration(
                3,
                List.of(
                        route("/read/", RouteKind.IDEMPOTENT, 2_000, false),
                        route("/order/", RouteKind.NON_IDEMPOTENT, 2_000, false),
                        route("/stream/", RouteKind.STREAMING, 4_000, false),
                        route("/generate/", RouteKind.STREAMING, 4_000, false),
                        route("/open/", RouteKind.IDEMPOTENT, 2_000, true)),
                List.of(
                        new FleetService(SERVICE, "/healthz", 10, Optional.empty(), 0, coldPerSecond),
                        new FleetService(ENGINES, "/healthz", 10, Optional.of(ENGINE))),
                limits,
                Optional.of(List.of(new FleetAccount(new AccountName("oaxaca"), List.of("key-1"), 1))));
    }

    /** Makes this gateway and another one send each other load reports. */
    void exchangeWith(GatewayHarness other) throws Exception {
        List<String> addresses = List.of(exchangeAddress, other.exchangeAddress);
        loop.submit(() -> exchange.apply(addresses)).sync();
        other.loop.submit(() -> other.exchange.apply(addresses)).sync();
    }

    /** Loses all load reports from and to this gateway from now on. */
    void loseReports() {
        exchange.stop();
    }

    /** Announces both targets once the first one has received a request. */
    void applyOnceReceived(FakeTarget first, FakeTarget second) {
        applyOnceReceived(first, new FakeTarget[] {first, second});
    }

    /** Announces no targets once the given one has received a request. */
    void withdrawOnceReceived(FakeTarget target) {
        applyOnceReceived(target, new FakeTarget[0]);
    }

    private void applyOnceReceived(FakeTarget receiver, FakeTarget[] announced) {
        try {
            while (receiver.received.isEmpty()) {
                Thread.sleep(1);
            }
            apply(announced);
        } catch (Exception failed) {
            throw new IllegalStateException(failed);
        }
    }

    /** Makes the event loop stall once, between the arrival of the next request and its placement. */
    void stallOnce(long millis) {
        nextStallMillis.set(millis);
    }

    /** Makes the event loop stall, and returns when the stall has begun. */
    void stallUntil(CountDownLatch end) throws InterruptedException {
        CountDownLatch begun = new CountDownLatch(1);
        loop.execute(() -> {
            begun.countDown();
            try {
                end.await();
            } catch (InterruptedException interrupted) {
                Thread.currentThread().interrupt();
            }
        });
        begun.await();
    }

    /** Returns a value that is confined to the event loop. */
    <V> V onLoop(Callable<V> value) throws Exception {
        return loop.submit(value).get();
    }

    @Override
    public FleetView view() {
        long stallMillis = loop != null && loop.inEventLoop() ? nextStallMillis.getAndSet(0) : 0;
        if (stallMillis > 0) {
            LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(stallMillis));
        }
        if (loop != null && loop.inEventLoop()) {
            atNextArrival.getAndSet(() -> {}).run();
        }
        return view;
    }

    @Override
    public long ageMillis(GatewayClock now) {
        return ageMillis;
    }

    Socket connect() throws IOException {
        Socket socket = new Socket("127.0.0.1", port);
        socket.setSoTimeout(8_000);
        return socket;
    }

    /** Connects as a caller whose operating system takes in few bytes that are not read. */
    Socket connectWithSmallWindow() throws IOException {
        Socket socket = new Socket();
        socket.setReceiveBufferSize(SMALL_WINDOW_BYTES);
        socket.connect(new InetSocketAddress("127.0.0.1", port));
        socket.setSoTimeout(8_000);
        return socket;
    }

    /** Returns the number of open connections of callers. */
    int openConnections() throws Exception {
        return onLoop(() -> callers.closeIdle(Long.MAX_VALUE));
    }

    /** Sends a request on a new connection and returns everything received until the connection ends. */
    String call(String request) throws IOException {
        try (Socket socket = connect()) {
            socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
            return readAll(socket.getInputStream());
        }
    }

    static String readAll(InputStream stream) throws IOException {
        return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
    }

    /** Reads one response with a length, as is possible on a connection that remains open. */
    static String readResponse(InputStream stream) throws IOException {
        StringBuilder response = new StringBuilder();
        int length = 0;
        String line;
        do {
            line = FakeTarget.readLine(stream);
            response.append(line).append("\r\n");
            if (line.toLowerCase(Locale.ROOT).startsWith("content-length:")) {
                length = Integer.parseInt(line.substring(line.indexOf(':') + 1).strip());
            }
        } while (!line.isEmpty());
        return response + new String(stream.readNBytes(length), StandardCharsets.UTF_8);
    }

    static String request(String method, String path, String id, String moreHeaders, String body) {
        String length = body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n";
        return method + " " + path + " HTTP/1.1\r\nHost: beads.example\r\nRequest-Id: " + id
                + "\r\nApi-Key: key-1\r\nConnection: close\r\n" + moreHeaders + length + "\r\n" + body;
    }

    /** Begins a drain whose checks are late. */
    void beginDrain(DrainSchedule schedule) throws InterruptedException {
        loop.submit(() -> forwarder.beginDrain(schedule, GatewayClock.now())).sync();
    }

    void drain(DrainSchedule schedule) {
        new RequestDrain(loop, forwarder, callers, schedule).run();
    }

    /** Drains the gateway, then ends like a process: no connection remains open. */
    void drainAndExit(DrainSchedule schedule) throws InterruptedException {
        drain(schedule);
        loop.parent().shutdownGracefully(0, 0, TimeUnit.SECONDS).sync();
    }

    @Override
    public void close() {
        callers.stop();
        exchange.stop();
        loop.parent().shutdownGracefully();
    }
}
