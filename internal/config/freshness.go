package config

import (
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/monotime"
)

// FreshnessBound is the age of the evidence beyond which the version at hand may no longer be the one in force.
const FreshnessBound = 10 * time.Second

// PeerVersion is what another member said of its configuration in one heartbeat exchange.
type PeerVersion struct {
	Member cell.MemberID
	Addr   string
	// Version is the highest that the member knows.
	Version uint64
	// Pending means that the member has submitted a patch whose outcome it does not know yet.
	Pending bool
	// Started is when this process began the exchange, on its own clock. Evidence is never younger.
	Started monotime.Instant
}

// evidence is what speaks for there being no version newer than the one at hand.
type evidence struct {
	// headVersion is what the latest read of the head said; the read began at headStarted.
	headVersion     uint64
	headReadStarted monotime.Instant
	headRead        bool
	// members holds the other members whose word is needed. One whose row is deleted may have made a version before,
	// so its word is needed until a read of the head begins after the deletion was seen.
	members      map[cell.MemberID]memberState
	peerVersions map[cell.MemberID]PeerVersion
}

// memberState is whether a member has a row, and if not, when that was seen.
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

// recordHead records a read of the head.
func (e *evidence) recordHead(version uint64, started monotime.Instant) {
	if e.headRead && started < e.headReadStarted {
		return
	}
	e.headRead = true
	e.headVersion = version
	e.headReadStarted = started
	e.dropRemovedMembers()
}

// recordPeerVersion records an exchange with another member.
func (e *evidence) recordPeerVersion(v PeerVersion) {
	if last, ok := e.peerVersions[v.Member]; ok && last.Started > v.Started {
		return
	}
	e.peerVersions[v.Member] = v
}

// setMembers takes the other members that have a row, as seen at now.
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

// dropRemovedMembers drops the members that were seen gone before the latest read of the head began.
func (e *evidence) dropRemovedMembers() {
	for id, m := range e.members {
		if m.removed && m.removalSeenAt <= e.headReadStarted {
			delete(e.members, id)
			delete(e.peerVersions, id)
		}
	}
}

// confirmsNewest reports whether version was surely the newest at some instant within the bound before now.
func (e *evidence) confirmsNewest(version uint64, now monotime.Instant) bool {
	return e.headConfirms(version, now) || e.membersConfirm(version, now)
}

func (e *evidence) headConfirms(version uint64, now monotime.Instant) bool {
	return e.headRead && e.headVersion <= version && isFresh(e.headReadStarted, now)
}

// membersConfirm needs every other member's word, and at least one other member.
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
