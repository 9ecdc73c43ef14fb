package org.bamboohatch.protocol.message;

import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** A message between two processes. Message types are registered by {@link MessageCatalog} plug-ins. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, include = JsonTypeInfo.As.WRAPPER_ARRAY)
public interface Message {}
