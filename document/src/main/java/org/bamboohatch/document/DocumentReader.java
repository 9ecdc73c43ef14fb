package org.bamboohatch.document;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.regex.Pattern;

import org.bamboohatch.kernel.outcome.Result;
import org.bamboohatch.kernel.settings.SettingsError;
import org.bamboohatch.kernel.settings.YamlReader;

/** Reads service documents and reports every error of one at once. */
public final class DocumentReader {

    /** A SHA-256 hash in hexadecimal digits. */
    private static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");

    /** Not instantiated. */
    private DocumentReader() {}

    /**
     * Reads a document.
     *
     * @param name name of the file, for errors
     * @param text the YAML text
     * @return the document, or every error
     */
    public static Result<ServiceDocument, List<SettingsError>> read(String name, String text) {
        return YamlReader.read(name, text, ServiceDocument.class, DocumentReader::check);
    }

    /**
     * Checks the rules that span several keys.
     *
     * @param document the document
     * @return every problem
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
     * Checks the models.
     *
     * @param document the document
     * @param problems receives the problems
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
     * Checks the client accounts.
     *
     * @param document the document
     * @param problems receives the problems
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
                if (!HASH.matcher(hash).matches()) {
                    problems.add(new YamlReader.Problem(path, "must be 64 lower-case hexadecimal digits"));
                } else if (!hashes.add(hash)) {
                    problems.add(new YamlReader.Problem(path, "stands twice"));
                }
            }
        }
    }
}
