package org.bamboohatch.document;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.bamboohatch.kernel.id.ModelName;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.settings.Setting;

/**
 * Document in which a service team declares its service and how its requests are handled.
 *
 * @param service name of the service
 * @param kind kind of the service
 * @param description free text for readers
 * @param models models of a service with engines, empty for a plain service
 * @param accounts client accounts of the service
 * @param deadlines request timeouts
 * @param calls rules for calls of a plain service; a call without a rule is not repeatable
 * @param staleness handling of requests while the copy of an entry may be stale
 * @param maximumBodyBytes maximum size of a request body, in bytes
 * @param longShare share of an engine's memory that prompts over 32,000 tokens may reserve; a single such prompt may
 *     exceed it
 */
public record ServiceDocument(
        @Setting(description = "name of the service") ServiceName service,
        @Setting(description = "engines or plain") ServiceKind kind,

        @Setting(description = "free text for people", fallback = "\"\"")
        String description,

        @Setting(description = "models of an engine service", fallback = "[]")
        List<ModelSpecification> models,

        @Setting(description = "client accounts") List<AccountSpecification> accounts,

        @Setting(description = "times within which requests finish or fail", fallback = "{}")
        DeadlineSpecification deadlines,

        @Setting(
                description = "rules for calls of a plain service; a call without a rule is not repeatable",
                fallback = "[]")
        List<CallSpecification> calls,

        @Setting(description = "refuse or serve while the copy of the document may be stale", fallback = "refuse")
        StalenessPolicy staleness,

        @Setting(description = "largest request body", unit = "bytes", min = 1, max = 33_554_432, fallback = "8388608")
        long maximumBodyBytes,

        @Setting(
                description = "part of an engine that prompts over 32k tokens may hold while shorter ones wait",
                min = 0.05,
                max = 1,
                fallback = "0.5")
        double longShare) {

    /** Copies the lists to keep the record immutable. */
    public ServiceDocument {
        models = List.copyOf(models);
        accounts = List.copyOf(accounts);
        calls = List.copyOf(calls);
    }

    /**
     * Returns the model with a given name.
     *
     * @param name name from the request
     * @return the model, empty if the service does not have it
     */
    public Optional<ModelSpecification> model(ModelName name) {
        return models.stream().filter(model -> model.name().equals(name)).findFirst();
    }

    /**
     * Indicates whether a call may be repeated. Of the rules that apply, the one with the longest path decides.
     *
     * @param method HTTP method of the call
     * @param path path of the call relative to the service
     * @return {@code true} if the call is idempotent, {@code false} if it is not or no rule applies
     */
    public boolean isRepeatable(String method, String path) {
        return calls.stream()
                .filter(call -> call.matches(method, path))
                .max(Comparator.comparingInt(call -> call.path().length()))
                .map(CallSpecification::repeatable)
                .orElse(false);
    }
}
