/** Messages between hosts: authenticated connections, codecs and fetches over Netty and protobuf. */
package org.knapweedhatch.peer;
