package org.camphorhall.scheduler.support

import org.camphorhall.platform.http.HostAddress

/** Host of [address], host:port. */
internal fun hostOf(address: String): String = address.substringBeforeLast(':')

/** Port of [address], host:port. */
internal fun portOf(address: String): Int = address.substringAfterLast(':').toInt()

/** Whether [text], which another process wrote, is an address to which a client can connect. */
internal fun isAddress(text: String): Boolean = HostAddress.parse(text) != null
