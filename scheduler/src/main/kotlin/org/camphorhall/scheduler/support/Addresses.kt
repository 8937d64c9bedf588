package org.camphorhall.scheduler.support

/** Host of [address], host:port. */
internal fun hostOf(address: String): String = address.substringBeforeLast(':')

/** Port of [address], host:port. */
internal fun portOf(address: String): Int = address.substringAfterLast(':').toInt()
