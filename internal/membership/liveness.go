package membership

import (
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/wire"
)

// memberState is another member and what this process saw of it, timed by this process's clock alone.
type memberState struct {
	id   cell.MemberID
	addr string
	zone string

	rowVersion      uint64
	refreshInterval time.Duration
	// rowUnchangedSince is the end of the first and rowUntil the begin of the last of the successive readings that saw
	// rowVersion, so that a slow reading never makes a row seem older than it is.
	rowUnchangedSince monotime.Instant
	rowUnchangedUntil monotime.Instant

	// lastAlive is the latest instant at which the member surely ran: the start of an exchange that it answered, the
	// arrival of its own heartbeat, or when it was first seen.
	lastAlive monotime.Instant
	// lastHeard is when its own heartbeat last arrived; answered begins the latest exchange that was begun here and answered.
	lastHeard    monotime.Instant
	lastAnswered monotime.Instant
	// refusedHeartbeats counts the latest heartbeats refusedHeartbeats by the member's host.
	refusedHeartbeats int
	// replaced means that another member answers at its address.
	replaced bool

	exchangeInFlight bool
	// exchangeAgain asks for another exchange right after the one in flight.
	exchangeAgain bool
	leaving       bool
	// canAcquire means that the member can acquire shards.
	canAcquire    bool
	configVersion uint64
	rowChanges    uint64
	digests       []*wire.ShardDigest
}

// isLive reports whether the member is to be taken as running, if heartbeats are missing after silenceLimit. Silence alone does not make it dead: it must also have
// stopped refreshing its row, or its host must refuse connections.
func (m *memberState) isLive(now monotime.Instant, silenceLimit time.Duration) bool {
	if m.replaced {
		return false
	}
	if m.refusedHeartbeats >= refusedHeartbeatLimit {
		return false
	}
	if now.Sub(m.lastAlive) <= silenceLimit {
		return true
	}
	return m.rowUnchangedUntil.Sub(m.rowUnchangedSince) <= m.refreshInterval+rowRefreshSlack
}

// rowRemovable reports whether the member's row is to be removed: its process has surely ended, or the row has stayed the
// same for long.
func (m *memberState) rowRemovable(now monotime.Instant, silenceLimit time.Duration) bool {
	if m.replaced {
		return true
	}
	return !m.isLive(now, silenceLimit) && m.rowUnchangedUntil.Sub(m.rowUnchangedSince) > deadRowRetention
}

// recordRow records that a reading from started to ended saw the row.
func (m *memberState) recordRow(rowVersion uint64, row memberRow, started, ended monotime.Instant) {
	m.refreshInterval = row.refreshInterval()
	if m.rowVersion != rowVersion {
		m.rowVersion = rowVersion
		m.rowUnchangedSince = ended
	}
	m.rowUnchangedUntil = max(m.rowUnchangedUntil, started)
}

// resetSilence forgets how long the member has been silent: this process was paused, or could not read the rows.
func (m *memberState) resetSilence(now monotime.Instant) {
	m.lastAlive = max(m.lastAlive, now)
	m.refusedHeartbeats = 0
	m.resetRowAge(now)
}

// resetRowAge forgets how long the member's row has stayed the same.
func (m *memberState) resetRowAge(now monotime.Instant) {
	m.rowUnchangedSince = now
	m.rowUnchangedUntil = now
}
