/** Gateway program: forwards requests of configured routes to targets that it calls directly. */
package org.bamboohatch.gateway;
