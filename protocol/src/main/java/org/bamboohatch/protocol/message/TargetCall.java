package org.bamboohatch.protocol.message;

/**
 * The call that a target is asked to run.
 *
 * @param method the HTTP method
 * @param path the path at the target
 * @param contentType the media type of the body
 * @param body the body
 */
public record TargetCall(String method, String path, String contentType, byte[] body) {}
