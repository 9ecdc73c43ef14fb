/** Gateway process: forwards requests that match a configured route to targets, without an agent in between. */
package org.bamboohatch.gateway;
