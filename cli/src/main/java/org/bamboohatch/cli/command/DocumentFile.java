package org.bamboohatch.cli.command;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;

import org.bamboohatch.cli.Context;
import org.bamboohatch.document.DocumentReader;
import org.bamboohatch.document.ServiceDocument;
import org.bamboohatch.kernel.outcome.Result;
import org.bamboohatch.kernel.settings.SettingsError;

/**
 * Service document that was read from a file.
 *
 * @param document parsed document
 * @param text YAML text of the file
 */
record DocumentFile(ServiceDocument document, String text) {

    /**
     * Reads a file and prints all errors that are found.
     *
     * @param file path of the file
     * @param context receives the errors
     * @return the document, empty if the file is unreadable or invalid
     */
    static Optional<DocumentFile> read(Path file, Context context) {
        try {
            String text = Files.readString(file);
            Result<ServiceDocument, List<SettingsError>> result = DocumentReader.read(file.toString(), text);
            if (result instanceof Result.Success<ServiceDocument, List<SettingsError>> success) {
                return Optional.of(new DocumentFile(success.value(), text));
            }
            ((Result.Failure<ServiceDocument, List<SettingsError>>) result)
                    .problem()
                    .forEach(error -> context.printMessage(error.toString()));
        } catch (IOException unreadable) {
            context.printMessage(file + ": cannot be read: " + unreadable.getMessage());
        }
        return Optional.empty();
    }
}
