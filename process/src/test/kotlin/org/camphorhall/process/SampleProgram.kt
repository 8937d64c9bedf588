package org.camphorhall.process

import io.github.oshai.kotlinlogging.KotlinLogging
import io.github.oshai.kotlinlogging.Level
import io.ktor.server.cio.CIO
import io.ktor.server.engine.embeddedServer
import io.ktor.server.response.respondText
import io.ktor.server.routing.get
import io.ktor.server.routing.routing
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable
import java.io.IOException
import java.net.BindException
import kotlin.time.Duration.Companion.milliseconds

@Serializable
internal data class SampleSettings(val behaviour: String, val token: Secret = Secret("hunter2"))

private val logger = KotlinLogging.logger {}

internal val sampleProgram = program(
    "camphorhall-sample",
    SampleSettings.serializer(),
    "{\n  // what serve does\n  \"behaviour\": \"wait\"\n}\n",
    { s -> checkSettings { notBlank("behaviour", s.behaviour) } },
) { s, signal ->
    when (s.behaviour) {
        "end" -> ExitCode.Ok

        "fail" -> error("broken")

        "bind" -> throw BindException("in use")

        // The HTTP server binds in a coroutine; a failed bind surfaces as the cause of a cancellation.
        "bind-later" -> throw CancellationException("cancelling", BindException("in use"))

        // The gRPC server reports a failed bind as a plain I/O error.
        "bind-io" -> bindOrThrow { throw IOException("in use") }

        "unreachable" -> ExitCode.CouldNotStart

        "http" -> {
            val finish = CompletableDeferred<Unit>()
            val server = embeddedServer(CIO, port = 0, host = "127.0.0.1") {
                routing {
                    get("/finish") {
                        call.respondText("finished")
                        finish.complete(Unit)
                    }
                }
            }.startSuspend()
            logger.event(Level.INFO, "started", "port" to server.engine.resolvedConnectors().first().port)
            signal.await()
            // The test sends its request after the next log line. The delay is long enough for another shutdown hook to
            // stop the server before that.
            delay(500.milliseconds)
            logger.event(Level.INFO, "draining")
            finish.await()
            server.stopSuspend(100, 1000)
            ExitCode.Ok
        }

        else -> {
            logger.event(Level.INFO, "started", LogFields.TASK to "t1", "attempt" to 2, "token" to s.token)
            signal.await()
            // Longer than the signal handling, so that the test fails if the shutdown hook does not wait.
            delay(300.milliseconds)
            logger.event(Level.INFO, "stopped", LogFields.REASON to "signal")
            ExitCode.Ok
        }
    }
}

/** Main class of the child process in [ProgramTest]. */
internal object SampleMain {
    @JvmStatic
    fun main(args: Array<String>): Unit = runProgram(sampleProgram, args)
}
