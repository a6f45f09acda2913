package io.oriolehall.proofs.config

import io.oriolehall.harness.fleet.Fleet
import io.oriolehall.harness.fleet.fleetSpec
import io.oriolehall.harness.process.MachineLock
import io.oriolehall.model.ServiceState
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.TestInstance

/** Tests that run one after the other on one fleet of three zones, so that it starts only once. */
@TestInstance(TestInstance.Lifecycle.PER_CLASS)
abstract class SharedFleet(private val name: String) {
    private lateinit var lock: MachineLock
    private lateinit var fleet: Fleet

    @BeforeAll
    fun start() {
        lock = MachineLock.take()
        runBlocking { fleet = Fleet.start(fleetSpec(name) { threeZones() }) }
    }

    @AfterAll
    fun close() {
        if (::fleet.isInitialized) fleet.close()
        lock.close()
    }

    /** Runs [test] on the whole fleet: nothing is cut and every zone is in service. */
    protected fun onFleet(test: suspend (Fleet) -> Unit) = runBlocking {
        fleet.faults.heal()
        awaitTicket(fleet.tickets.publish(zoneState("z3", ServiceState.IN_SERVICE)), fleet.entries, RECOVERY_MS)
        awaitAgreement(fleet.entries, RECOVERY_MS)
        test(fleet)
    }

    private companion object {
        const val RECOVERY_MS = 20_000L
    }
}
