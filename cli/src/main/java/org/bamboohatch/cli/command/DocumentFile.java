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
 * A document read from a file.
 *
 * @param document the document
 * @param text its YAML text
 */
record DocumentFile(ServiceDocument document, String text) {

    /**
     * Reads a file and tells every error.
     *
     * @param file the file
     * @param context takes the errors
     * @return the document, if it has no error
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
                    .forEach(error -> context.tell(error.toString()));
        } catch (IOException unreadable) {
            context.tell(file + ": cannot be read: " + unreadable.getMessage());
        }
        return Optional.empty();
    }
}
