package org.bamboohatch.protocol.message;

import org.bamboohatch.kernel.id.ServiceName;

/**
 * One revision of a service document.
 *
 * @param service the service
 * @param revision the revision, larger for later changes, unique over all documents
 * @param text the YAML text
 */
public record DocumentVersion(ServiceName service, long revision, String text) {}
