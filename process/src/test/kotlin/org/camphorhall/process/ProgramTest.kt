package org.camphorhall.process

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.Timeout
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import strikt.api.expectThat
import strikt.assertions.contains
import strikt.assertions.isEqualTo
import java.io.BufferedReader
import java.net.URI
import java.nio.file.Path
import kotlin.io.path.writeText

class ProgramTest {
    @TempDir
    lateinit var dir: Path

    private fun settings(behaviour: String): String =
        dir.resolve("s.json").also { it.writeText("""{"behaviour": "$behaviour"}""") }.toString()

    // Supervisors of the processes rely on the documented exit codes.
    @ParameterizedTest
    @CsvSource(
        "serve, end, 0", "serve, fail, 1", "serve, bind, 4", "serve, bind-later, 4", "serve, bind-io, 4",
        "serve, unreachable, 4", "serve, ' ', 3",
        "check-config, end, 0", "check-config, ' ', 3",
    )
    fun `a command exits with the documented status`(command: String, behaviour: String, status: Int) {
        expectThat(statusOf(sampleProgram, arrayOf(command, "--settings", settings(behaviour)))) isEqualTo status
    }

    @ParameterizedTest
    @CsvSource(
        "'', 2", "unknown, 2", "serve, 2", "serve --settings, 2", "serve --sets x, 2", "--version, 0", "--help, 0",
        "sample-config, 0", "serve --settings /does/not/exist, 3",
    )
    fun `invalid arguments and help requests exit with the documented status`(line: String, status: Int) {
        val args = line.split(' ').filter { it.isNotEmpty() }.toTypedArray()
        expectThat(statusOf(sampleProgram, args)) isEqualTo status
    }

    // Guards against a JVM that exits on the signal before serve has returned, or with status 143.
    @Test
    @Timeout(60)
    fun `on SIGTERM serve finishes, the status is 0 and the logs are JSON lines`() = withChild("wait") { child, out ->
        expectThat(fields(out.readLine())) {
            get { get("message") } isEqualTo "started"
            get { get("level") } isEqualTo "INFO"
            get { get("task") } isEqualTo "t1"
            get { get("attempt") } isEqualTo "2"
            get { get("token") } isEqualTo "(hidden)"
        }
        // Process.destroy would also close the child's output.
        child.toHandle().destroy()
        expectThat(out.readText()).contains("\"message\":\"stopped\"")
        expectThat(child.waitFor()) isEqualTo 0
    }

    // Guards against a process that exits on SIGHUP, which asks it to check its changed settings.
    @Test
    @Timeout(60)
    fun `on SIGHUP the settings are read again and the process keeps running`() = withChild("wait") { child, out ->
        expectThat(fields(out.readLine())["message"]) isEqualTo "started"
        val cases = listOf("{\"behaviour\": \"end\"}" to "settings read again", "{" to "settings are invalid")
        for ((text, message) in cases) {
            dir.resolve("s.json").writeText(text)
            ProcessBuilder("kill", "-HUP", "${child.pid()}").start().waitFor()
            expectThat(out.readLine()).contains(message)
        }
        child.toHandle().destroy()
        expectThat(child.waitFor()) isEqualTo 0
    }

    // Guards against Ktor's own shutdown hook, which stops the server while serve is still draining.
    @Test
    @Timeout(60)
    fun `an HTTP server responds until serve stops it`() = withChild("http") { child, out ->
        val port = fields(out.readLine())["port"]
        child.toHandle().destroy()
        expectThat(fields(out.readLine())["message"]) isEqualTo "draining"
        expectThat(URI("http://127.0.0.1:$port/finish").toURL().readText()) isEqualTo "finished"
        expectThat(child.waitFor()) isEqualTo 0
    }

    private fun fields(line: String) =
        Json.parseToJsonElement(line).jsonObject.mapValues { it.value.jsonPrimitive.content }

    private fun withChild(behaviour: String, block: (Process, BufferedReader) -> Unit) {
        val java = ProcessHandle.current().info().command().get()
        val classPath = System.getProperty("java.class.path")
        val main = SampleMain::class.java.name
        val child = ProcessBuilder(java, "-cp", classPath, main, "serve", "--settings", settings(behaviour))
            .redirectErrorStream(true).start()
        try {
            block(child, child.inputStream.bufferedReader())
        } finally {
            child.destroyForcibly()
        }
    }
}
