package membership

import (
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/wire"
)

// observed is another member and what this process saw of it, timed by this process's clock alone.
type observed struct {
	id   cell.MemberID
	addr string
	zone string

	rowVersion uint64
	refresh    time.Duration
	// rowSince is the end of the first and rowUntil the begin of the last of the successive readings that saw
	// rowVersion, so that a slow reading never makes a row seem older than it is.
	rowSince monotime.Instant
	rowUntil monotime.Instant

	// alive is the latest instant at which the member surely ran: the start of an exchange that it answered, the
	// arrival of its own heartbeat, or when it was first seen.
	alive monotime.Instant
	// heard is when its own heartbeat last arrived; answered begins the latest exchange that was begun here and answered.
	heard    monotime.Instant
	answered monotime.Instant
	// refused counts the latest heartbeats refused by the member's host.
	refused int
	// replaced means that another member answers at its address.
	replaced bool

	inFlight bool
	// again asks for another exchange right after the one in flight.
	again   bool
	leaving bool
	// takes means that the member can acquire shards.
	takes      bool
	config     uint64
	rowChanges uint64
	digests    []*wire.ShardDigest
}

// live reports whether the member is to be taken as running, if heartbeats are missing after silenceLimit. Silence alone does not make it dead: it must also have
// stopped refreshing its row, or its host must refuse connections.
func (o *observed) live(now monotime.Instant, silenceLimit time.Duration) bool {
	if o.replaced {
		return false
	}
	if o.refused >= refusedLimit {
		return false
	}
	if now.Sub(o.alive) <= silenceLimit {
		return true
	}
	return o.rowUntil.Sub(o.rowSince) <= o.refresh+refreshSlack
}

// removable reports whether the member's row is to be removed: its process has surely ended, or the row has stayed the
// same for long.
func (o *observed) removable(now monotime.Instant, silenceLimit time.Duration) bool {
	if o.replaced {
		return true
	}
	return !o.live(now, silenceLimit) && o.rowUntil.Sub(o.rowSince) > removeAfter
}

// noteRow records that a reading from started to ended saw the row.
func (o *observed) noteRow(rowVersion uint64, row memberRow, started, ended monotime.Instant) {
	o.refresh = row.refresh()
	if o.rowVersion != rowVersion {
		o.rowVersion = rowVersion
		o.rowSince = ended
	}
	o.rowUntil = max(o.rowUntil, started)
}

// restart forgets how long the member has been silent: this process was paused, or could not read the rows.
func (o *observed) restart(now monotime.Instant) {
	o.alive = max(o.alive, now)
	o.refused = 0
	o.restartRow(now)
}

// restartRow forgets how long the member's row has stayed the same.
func (o *observed) restartRow(now monotime.Instant) {
	o.rowSince = now
	o.rowUntil = now
}
