package org.camphorhall.agent

import kotlinx.coroutines.CompletableDeferred
import org.camphorhall.core.agent.AgentAction
import org.camphorhall.core.model.RequestId
import java.util.concurrent.ConcurrentHashMap

/** Requests and withdrawals of entries that wait for a response, with the bodies of the requests and responses. */
internal class PendingRequests {
    private class Pending(val body: ByteArray) {
        val response = CompletableDeferred<AgentAction.Respond>()

        @Volatile
        var responseBody: ByteArray = EMPTY_BODY
    }

    private val pending = ConcurrentHashMap<RequestId, Pending>()
    private val withdrawals = ConcurrentHashMap<RequestId, CompletableDeferred<Boolean>>()

    /** Registers the request [id], or returns false if a request with this id is already pending. */
    fun register(id: RequestId, body: ByteArray): Boolean = pending.putIfAbsent(id, Pending(body)) == null

    /** Returns the body of the request [id], or null if its entry no longer waits for the response. */
    fun body(id: RequestId): ByteArray? = pending[id]?.body

    fun setResponseBody(id: RequestId, body: ByteArray) {
        pending[id]?.responseBody = body
    }

    fun complete(response: AgentAction.Respond) {
        pending[response.id]?.response?.complete(response)
    }

    /** Suspends until the request [id] completes and returns the response with the body from the backend server. */
    suspend fun await(id: RequestId): Pair<AgentAction.Respond, ByteArray> {
        val p = pending.getValue(id)
        try {
            return p.response.await() to p.responseBody
        } finally {
            pending.remove(id)
        }
    }

    fun registerWithdrawal(id: RequestId): CompletableDeferred<Boolean> =
        withdrawals.computeIfAbsent(id) { CompletableDeferred() }

    fun completeWithdrawal(id: RequestId, notRun: Boolean) {
        withdrawals.remove(id)?.complete(notRun)
    }

    private companion object {
        val EMPTY_BODY = ByteArray(0)
    }
}
