package membership

import (
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/wire"
)

// memberState is what this process knows of another member. All times are from this process's clock.
type memberState struct {
	id   cell.MemberID
	addr string
	zone string

	rowVersion      uint64
	refreshInterval time.Duration
	// rowUnchangedSince is the end of the first and rowUnchangedUntil the start of the last of the successive reads that
	// saw rowVersion, so that a slow read never makes a row seem older than it is.
	rowUnchangedSince monotime.Instant
	rowUnchangedUntil monotime.Instant

	// lastAlive is when the member's failure timeout last began: the latest start of an exchange that it answered, arrival
	// of a heartbeat that it sent, or the time when it was first seen.
	lastAlive monotime.Instant
	// lastHeartbeatAt is when a heartbeat that it sent last arrived. lastAnswered is when the latest exchange started that
	// this process began and the member answered.
	lastHeartbeatAt monotime.Instant
	lastAnswered    monotime.Instant
	// refusedHeartbeats counts the consecutive heartbeats for which the member's machine refused the connection.
	refusedHeartbeats int
	// replaced means that another member answers at its address.
	replaced bool

	exchangeInFlight bool
	// exchangeAgain requests another exchange right after the one in flight.
	exchangeAgain bool
	leaving       bool
	// canAcquire means that the member can acquire shards.
	canAcquire    bool
	configVersion uint64
	rowChanges    uint64
	digests       []*wire.ShardDigest
}

// isLive reports whether the member counts as running. A member without a heartbeat for longer than failureTimeout counts as
// dead only if it has also stopped refreshing its row. One that was replaced, or whose machine refuses connections,
// counts as dead at once.
func (m *memberState) isLive(now monotime.Instant, failureTimeout time.Duration) bool {
	if m.replaced {
		return false
	}
	if m.refusedHeartbeats >= refusedHeartbeatLimit {
		return false
	}
	if now.Sub(m.lastAlive) <= failureTimeout {
		return true
	}
	return m.rowUnchangedUntil.Sub(m.rowUnchangedSince) <= m.refreshInterval+rowRefreshSlack
}

// rowRemovable reports whether the member's row may be deleted: another member answers at its address, so its process
// has ended, or it counts as dead and its row has been unchanged for deadRowRetention.
func (m *memberState) rowRemovable(now monotime.Instant, failureTimeout time.Duration) bool {
	if m.replaced {
		return true
	}
	return !m.isLive(now, failureTimeout) && m.rowUnchangedUntil.Sub(m.rowUnchangedSince) > deadRowRetention
}

// recordRow records that a read that began at started and ended at ended saw the row.
func (m *memberState) recordRow(rowVersion uint64, row memberRow, started, ended monotime.Instant) {
	m.refreshInterval = row.refreshInterval()
	if m.rowVersion != rowVersion {
		m.rowVersion = rowVersion
		m.rowUnchangedSince = ended
	}
	m.rowUnchangedUntil = max(m.rowUnchangedUntil, started)
}

// resetLiveness restarts the member's failure timeout and the measurement of its row's age, after this process was paused.
func (m *memberState) resetLiveness(now monotime.Instant) {
	m.lastAlive = max(m.lastAlive, now)
	m.refusedHeartbeats = 0
	m.resetRowAge(now)
}

// resetRowAge restarts the measurement of how long the member's row has been unchanged.
func (m *memberState) resetRowAge(now monotime.Instant) {
	m.rowUnchangedSince = now
	m.rowUnchangedUntil = now
}
