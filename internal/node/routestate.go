package node

import "laburnumpoint/internal/cell"

// routeState is where a request may still be sent, and what is known of its earlier sends.
type routeState struct {
	// candidates are the shards that may take the request, the one to try now first. There is at least one.
	candidates []cell.ShardID
	// tried counts the candidates tried since the last pause.
	tried int
	// keyed means that an owner may have the request already.
	keyed bool
	// pinned means that the request must not move to another shard because its owner can't be reached.
	pinned bool
	// inDoubt means that a send of this request may have been acted on.
	inDoubt bool
}

func (j *routeState) shard() cell.ShardID {
	return j.candidates[0]
}

// drop strikes the current shard off and reports whether another is left.
func (j *routeState) drop() bool {
	if len(j.candidates) == 1 {
		return false
	}
	j.candidates = j.candidates[1:]
	return true
}

// rotate goes on to the next shard and reports whether it should be tried without a pause.
func (j *routeState) rotate() bool {
	j.tried++
	if j.pinned || j.tried >= len(j.candidates) {
		j.tried = 0
		return false
	}
	j.candidates = append(j.candidates[1:], j.candidates[0])
	return true
}

// stay binds the request to the current shard.
func (j *routeState) stay() {
	j.candidates = j.candidates[:1]
	j.keyed = true
	j.pinned = true
	j.inDoubt = true
}
