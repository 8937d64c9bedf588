package org.camphorhall.process

import ch.qos.logback.classic.LoggerContext
import ch.qos.logback.classic.util.LogbackMDCAdapter
import org.slf4j.ILoggerFactory
import org.slf4j.IMarkerFactory
import org.slf4j.helpers.BasicMarkerFactory
import org.slf4j.spi.MDCAdapter
import org.slf4j.spi.SLF4JServiceProvider

/**
 * Provides Logback with the configuration of [LogConfigurator]. Deployments name this class in the system property
 * `slf4j.provider`, so that a start neither searches the class path for providers nor for configuration files.
 */
public class LogProvider : SLF4JServiceProvider {
    private val context = LoggerContext()
    private val markers = BasicMarkerFactory()
    private val contextFields = LogbackMDCAdapter()

    override fun getLoggerFactory(): ILoggerFactory = context

    override fun getMarkerFactory(): IMarkerFactory = markers

    override fun getMDCAdapter(): MDCAdapter = contextFields

    override fun getRequestedApiVersion(): String = "2.0.99"

    override fun initialize() {
        context.mdcAdapter = contextFields
        LogConfigurator().apply { this.context = this@LogProvider.context }.configure(context)
    }
}
