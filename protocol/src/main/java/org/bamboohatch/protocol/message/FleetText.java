package org.bamboohatch.protocol.message;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.List;
import java.util.Optional;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;

import org.bamboohatch.document.fleet.FleetConfiguration;
import org.bamboohatch.document.fleet.FleetFormat;
import org.bamboohatch.kernel.outcome.Result;
import org.bamboohatch.kernel.plugin.Plugins;

/**
 * The source text of a fleet configuration.
 *
 * @param version version of the configuration; the highest version takes effect
 * @param format name of the plug-in that parses the content
 * @param content the compressed source text
 */
public record FleetText(long version, String format, byte[] content) {

    /**
     * Creates an instance from a source text.
     *
     * @param version version of the configuration
     * @param format name of the plug-in that parses the text
     * @param text the source text
     * @return the instance with the compressed text
     */
    public static FleetText compress(long version, String format, byte[] text) {
        ByteArrayOutputStream compressed = new ByteArrayOutputStream();
        try (DeflaterOutputStream stream = new DeflaterOutputStream(compressed)) {
            stream.write(text);
        } catch (IOException impossible) {
            throw new IllegalStateException(impossible);
        }
        return new FleetText(version, format, compressed.toByteArray());
    }

    /**
     * Returns the source text.
     *
     * @return the decompressed text
     * @throws IOException if the content is damaged
     */
    public byte[] decompress() throws IOException {
        try (InflaterInputStream stream = new InflaterInputStream(new ByteArrayInputStream(content))) {
            return stream.readAllBytes();
        }
    }

    /**
     * Parses the configuration.
     *
     * @param formats the available formats
     * @return the configuration, or the reasons why it cannot be read
     */
    public Result<FleetConfiguration, List<String>> parse(Plugins<FleetFormat> formats) {
        Optional<FleetFormat> reader = formats.find(format);
        if (reader.isEmpty()) {
            return Result.failure(List.of("no plug-in reads the format " + format));
        }
        try {
            return reader.get().read(decompress());
        } catch (IOException damaged) {
            return Result.failure(List.of("the content is damaged: " + damaged.getMessage()));
        }
    }
}
