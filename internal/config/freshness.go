package config

import (
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/monotime"
)

// FreshnessBound is the maximum age of the evidence that confirms the local version. With older evidence a newer version
// may be in force.
const FreshnessBound = 10 * time.Second

// PeerVersion is the configuration version that another member reported in one heartbeat exchange.
type PeerVersion struct {
	Member cell.MemberID
	Addr   string
	// Version is the highest version that the member knows.
	Version uint64
	// Pending means that the member has submitted a patch whose outcome it does not know yet.
	Pending bool
	// Started is when this process began the exchange, on its own clock. The report counts as that old.
	Started monotime.Instant
}

// evidence holds what confirms that no version is newer than the local one: the latest read of the head and the latest
// exchange with each other member.
type evidence struct {
	// headVersion is the version that the latest read of the head returned; that read began at headReadStarted.
	headVersion     uint64
	headReadStarted monotime.Instant
	// headRead means that the head has been read at least once.
	headRead bool
	// members holds the other members that must confirm a version. One whose row was deleted may have created a version
	// before, so it stays here until a read of the head begins after the deletion was seen.
	members      map[cell.MemberID]memberState
	peerVersions map[cell.MemberID]PeerVersion
}

// memberState holds whether a member's row was deleted, and when this process saw that.
type memberState struct {
	removed       bool
	removalSeenAt monotime.Instant
}

func newEvidence() evidence {
	return evidence{
		members:      make(map[cell.MemberID]memberState),
		peerVersions: make(map[cell.MemberID]PeerVersion),
	}
}

// recordHead records a read of the head that began at started, unless a later one is recorded.
func (e *evidence) recordHead(version uint64, started monotime.Instant) {
	if e.headRead && started < e.headReadStarted {
		return
	}
	e.headRead = true
	e.headVersion = version
	e.headReadStarted = started
	e.dropRemovedMembers()
}

// recordPeerVersion records an exchange with another member, unless a later one is recorded.
func (e *evidence) recordPeerVersion(v PeerVersion) {
	if last, ok := e.peerVersions[v.Member]; ok && last.Started > v.Started {
		return
	}
	e.peerVersions[v.Member] = v
}

// setMembers sets which other members have a row, as seen at now.
func (e *evidence) setMembers(ids []cell.MemberID, now monotime.Instant) {
	for id, m := range e.members {
		if !m.removed {
			e.members[id] = memberState{removed: true, removalSeenAt: now}
		}
	}
	for _, id := range ids {
		e.members[id] = memberState{}
	}
}

// dropRemovedMembers drops the members whose row was seen to be deleted before the latest read of the head began.
func (e *evidence) dropRemovedMembers() {
	for id, m := range e.members {
		if m.removed && m.removalSeenAt <= e.headReadStarted {
			delete(e.members, id)
			delete(e.peerVersions, id)
		}
	}
}

// confirmsNewest reports whether version was certainly the newest at some instant within FreshnessBound before now.
func (e *evidence) confirmsNewest(version uint64, now monotime.Instant) bool {
	return e.headConfirms(version, now) || e.membersConfirm(version, now)
}

func (e *evidence) headConfirms(version uint64, now monotime.Instant) bool {
	return e.headRead && e.headVersion <= version && isFresh(e.headReadStarted, now)
}

// membersConfirm reports whether every other member confirms the version. There must be at least one other member.
func (e *evidence) membersConfirm(version uint64, now monotime.Instant) bool {
	if len(e.members) == 0 {
		return false
	}
	for id := range e.members {
		v, ok := e.peerVersions[id]
		if !ok || v.Pending || v.Version > version || !isFresh(v.Started, now) {
			return false
		}
	}
	return true
}

func isFresh(started, now monotime.Instant) bool {
	return now.Sub(started) <= FreshnessBound
}
