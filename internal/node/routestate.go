package node

import "laburnumpoint/internal/cell"

// routeState is where a request may still be sent, and what is known of its earlier sends.
type routeState struct {
	// candidates are the shards that may take the request, the one to try now first. There is at least one.
	candidates []cell.ShardID
	// tried counts the candidates tried since the last pause.
	tried int
	// maybeResent means that an owner may have the request already.
	maybeResent bool
	// pinned means that the request must not move to another shard because its owner can't be reached.
	pinned bool
	// inDoubt means that a send of this request may have been acted on.
	inDoubt bool
}

func (s *routeState) shard() cell.ShardID {
	return s.candidates[0]
}

// dropShard strikes the current shard off and reports whether another is left.
func (s *routeState) dropShard() bool {
	if len(s.candidates) == 1 {
		return false
	}
	s.candidates = s.candidates[1:]
	return true
}

// nextShard goes on to the next shard and reports whether it should be tried without a pause.
func (s *routeState) nextShard() bool {
	s.tried++
	if s.pinned || s.tried >= len(s.candidates) {
		s.tried = 0
		return false
	}
	s.candidates = append(s.candidates[1:], s.candidates[0])
	return true
}

// pin binds the request to the current shard.
func (s *routeState) pin() {
	s.candidates = s.candidates[:1]
	s.maybeResent = true
	s.pinned = true
	s.inDoubt = true
}
