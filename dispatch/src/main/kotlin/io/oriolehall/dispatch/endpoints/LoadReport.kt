package io.oriolehall.dispatch.endpoints

/**
 * What an endpoint reports about its load in a response.
 *
 * @property running tasks that it runs.
 * @property waiting tasks that wait there.
 * @property slots tasks that it can run at the same time, at least 1.
 * @property timeFactor current duration of a task relative to the usual one, above 0; null when it does not report it.
 */
data class LoadReport(val running: Int, val waiting: Int, val slots: Int, val timeFactor: Double? = null)
