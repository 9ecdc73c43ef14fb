package org.bamboohatch.document;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

import org.bamboohatch.kernel.outcome.Result;
import org.bamboohatch.kernel.settings.SettingsError;
import org.bamboohatch.kernel.settings.YamlReader;

/** Reads service documents and reports all errors of a document together. */
public final class DocumentReader {

    private static final Pattern SHA256_HASH = Pattern.compile("[0-9a-f]{64}");

    private DocumentReader() {}

    /**
     * Parses and validates a service document.
     *
     * @param name name of the file, for error messages
     * @param text content of the file, in YAML
     * @return the document, or all errors that were found
     */
    public static Result<ServiceDocument, List<SettingsError>> read(String name, String text) {
        return YamlReader.read(name, text, ServiceDocument.class, DocumentReader::check);
    }

    /**
     * Returns the violations of the rules that a setting's own description cannot express.
     *
     * @param document the parsed document
     */
    private static List<YamlReader.Problem> check(ServiceDocument document) {
        List<YamlReader.Problem> problems = new ArrayList<>();
        checkModels(document, problems);
        checkAccounts(document, problems);
        if (document.deadlines().defaultSeconds() > document.deadlines().maximumSeconds()) {
            problems.add(new YamlReader.Problem("deadlines.defaultSeconds", "must not be over maximumSeconds"));
        }
        for (int index = 0; index < document.calls().size(); index++) {
            if (!document.calls().get(index).path().startsWith("/")) {
                problems.add(new YamlReader.Problem("calls[" + index + "].path", "must begin with a slash"));
            }
        }
        return problems;
    }

    /**
     * Adds a problem for missing, unexpected and duplicate models.
     *
     * @param document the parsed document
     * @param problems list that receives the problems
     */
    private static void checkModels(ServiceDocument document, List<YamlReader.Problem> problems) {
        if (document.kind().requiresModels() == document.models().isEmpty()) {
            problems.add(new YamlReader.Problem("models", "must be given for kind engines and only there"));
        }
        Set<Object> names = new HashSet<>();
        for (int index = 0; index < document.models().size(); index++) {
            if (!names.add(document.models().get(index).name())) {
                problems.add(new YamlReader.Problem("models[" + index + "].name", "stands twice"));
            }
        }
    }

    /**
     * Adds a problem for each duplicate account and each malformed or duplicate key hash.
     *
     * @param document the parsed document
     * @param problems list that receives the problems
     */
    private static void checkAccounts(ServiceDocument document, List<YamlReader.Problem> problems) {
        Set<Object> names = new HashSet<>();
        Set<String> hashes = new HashSet<>();
        for (int index = 0; index < document.accounts().size(); index++) {
            AccountSpecification account = document.accounts().get(index);
            if (!names.add(account.name())) {
                problems.add(new YamlReader.Problem("accounts[" + index + "].name", "stands twice"));
            }
            for (int position = 0; position < account.keyHashes().size(); position++) {
                String path = "accounts[" + index + "].keyHashes[" + position + "]";
                String hash = account.keyHashes().get(position);
                if (!SHA256_HASH.matcher(hash).matches()) {
                    problems.add(new YamlReader.Problem(path, "must be 64 lower-case hexadecimal digits"));
                } else if (!hashes.add(hash)) {
                    problems.add(new YamlReader.Problem(path, "stands twice"));
                }
            }
        }
    }
}
