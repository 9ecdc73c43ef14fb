package org.bamboohatch.protocol.message;

/**
 * An HTTP request that an agent sends to its target.
 *
 * @param method HTTP method of the request
 * @param path path of the request at the target
 * @param contentType media type of the body
 * @param body body of the request, empty for none
 */
public record TargetCall(String method, String path, String contentType, byte[] body) {}
