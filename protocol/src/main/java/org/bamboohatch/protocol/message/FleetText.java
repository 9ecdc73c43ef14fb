package org.bamboohatch.protocol.message;

/**
 * The source text of a fleet configuration.
 *
 * @param version version of the configuration; the highest version takes effect
 * @param format name of the plug-in that parses the content
 * @param content the compressed source text
 */
public record FleetText(long version, String format, byte[] content) {}
