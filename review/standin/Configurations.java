package bamboohatch.review;

/** Configurations as the operator writes them. */
final class Configurations {

    static final String HOST = "orders.example";

    private static final String LIMITS = "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,"
            + "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}";

    private Configurations() {}

    static String route(String name, String prefix, String kind, int timeout, int aim, String service, String more) {
        return String.format(
                "{\"name\":\"%s\",\"host\":\"%s\",\"path_prefix\":\"%s\",\"kind\":\"%s\",\"timeout_ms\":%d,"
                        + "\"target_latency_ms\":%d,\"priority\":1,\"service\":\"%s\",\"max_attempts\":2,"
                        + "\"public\":false%s}",
                name, HOST, prefix, kind, timeout, aim, service, more);
    }

    static String plainService(String name) {
        return String.format(
                "{\"name\":\"%s\",\"health_path\":\"/healthz\",\"max_connections\":110,\"protocol\":\"h1\",\"tls\":false}",
                name);
    }

    static String configuration(long version, String routes, String services, String tenants) {
        return "{\"version\":" + version + ",\"routes\":[" + routes + "],\"services\":[" + services + "]," + LIMITS
                + (tenants == null ? "" : ",\"tenants\":[" + tenants + "]") + "}";
    }

    static String tenant(String name, String... keys) {
        return "{\"name\":\"" + name + "\",\"api_keys\":["
                + java.util.Arrays.stream(keys)
                        .map(key -> '"' + key + '"')
                        .collect(java.util.stream.Collectors.joining(","))
                + "],\"priority\":1}";
    }
}
