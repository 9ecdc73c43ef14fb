package org.bamboohatch.protocol.message;

import org.bamboohatch.kernel.id.ServiceName;

/**
 * One revision of a service document.
 *
 * @param service name of the service that the document configures
 * @param revision number of the revision, larger for later changes and unique across all documents
 * @param text source of the document, in YAML
 */
public record DocumentVersion(ServiceName service, long revision, String text) {}
