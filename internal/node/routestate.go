package node

import "laburnumpoint/internal/cell"

// routeState holds the shards to which a request may still be sent, and what is known of its earlier sends.
type routeState struct {
	// candidates are the shards that may accept the request, the current one first. There is at least one.
	candidates []cell.ShardID
	// tried counts the candidates tried since the last pause.
	tried int
	// maybeResent means that an owner may already have the request.
	maybeResent bool
	// pinned means that the request stays with its shard even if the shard's owner is unreachable.
	pinned bool
	// inDoubt means that an owner may have acted on a send that got no final answer.
	inDoubt bool
}

func (s *routeState) shard() cell.ShardID {
	return s.candidates[0]
}

// dropShard removes the current shard from the candidates. It returns false if it is the only one left.
func (s *routeState) dropShard() bool {
	if len(s.candidates) == 1 {
		return false
	}
	s.candidates = s.candidates[1:]
	return true
}

// nextShard moves on to the next candidate and returns true if the router should try it without a pause. It returns
// false if the request is pinned or every candidate has been tried since the last pause.
func (s *routeState) nextShard() bool {
	s.tried++
	if s.pinned || s.tried >= len(s.candidates) {
		s.tried = 0
		return false
	}
	s.candidates = append(s.candidates[1:], s.candidates[0])
	return true
}

// pin binds the request to the current shard after a send in doubt.
func (s *routeState) pin() {
	s.candidates = s.candidates[:1]
	s.maybeResent = true
	s.pinned = true
	s.inDoubt = true
}
