package org.bamboohatch.document;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;

import org.bamboohatch.kernel.id.ModelName;
import org.bamboohatch.kernel.id.ServiceName;
import org.bamboohatch.kernel.settings.Setting;

/**
 * The document by which a service team says what its service is and how its work is treated.
 *
 * @param service name of the service
 * @param kind kind of the service
 * @param description free text for people
 * @param models the models of an engine service
 * @param accounts the client accounts
 * @param deadlines the times within which requests finish or fail
 * @param calls the rules for calls of a plain service; a call without a rule is not repeatable
 * @param staleness what an entry does while its copy may be stale
 * @param maximumBodyBytes the largest request body
 * @param longShare the part of an engine that long prompts may hold while short ones wait
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

    /** Makes the lists immutable. */
    public ServiceDocument {
        models = List.copyOf(models);
        accounts = List.copyOf(accounts);
        calls = List.copyOf(calls);
    }

    /**
     * Finds a model.
     *
     * @param name the name that the caller wrote
     * @return the model, if the service has it
     */
    public Optional<ModelSpecification> model(ModelName name) {
        return models.stream().filter(model -> model.name().equals(name)).findFirst();
    }

    /**
     * Tells whether a call may be repeated; the rule with the longest path decides.
     *
     * @param method the HTTP method
     * @param path the path below the service
     * @return whether the call is idempotent
     */
    public boolean isRepeatable(String method, String path) {
        return calls.stream()
                .filter(call -> call.matches(method, path))
                .max(Comparator.comparingInt(call -> call.path().length()))
                .map(CallSpecification::repeatable)
                .orElse(false);
    }
}
