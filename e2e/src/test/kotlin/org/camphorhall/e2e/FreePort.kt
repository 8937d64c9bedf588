package org.camphorhall.e2e

import java.net.InetAddress
import java.net.ServerSocket
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random

/**
 * Finds a port that the operating system lets a process bind. The range lies below the ephemeral ports, so that no
 * outgoing connection binds the port while its process is down, and outside 17000 to 17600, which the Kotlin compiler
 * uses.
 */
internal fun freePort(): Int = generateSequence { Random.nextInt(PORTS.first, PORTS.last) }.first { port ->
    assignedPorts.add(port) && runCatching { ServerSocket(port, 1, InetAddress.getLoopbackAddress()).close() }.isSuccess
}

private val assignedPorts = ConcurrentHashMap.newKeySet<Int>()
private val PORTS = 22_000..32_000
