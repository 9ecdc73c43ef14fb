package org.bamboohatch.protocol.message;

/**
 * A fleet configuration as its author wrote it.
 *
 * @param version version, where the highest one wins
 * @param format name of the plug-in that reads the content
 * @param content the compressed text
 */
public record FleetText(long version, String format, byte[] content) {}
