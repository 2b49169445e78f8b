package api

import (
	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
)

// JobStatus counts a job's tasks by state.
type JobStatus struct {
	ID        cell.JobID    `json:"id"`
	Kind      cell.Kind     `json:"kind"`
	Count     int           `json:"count"`
	Queued    int           `json:"queued"`
	Running   int           `json:"running"`
	Succeeded int           `json:"succeeded"`
	Failed    int           `json:"failed"`
	Cancelled int           `json:"cancelled"`
	Reasons   []cell.Reason `json:"reasons,omitempty"`
}

// Settled reports whether every task of a batch or gang has ended, or every task of a service runs.
func (s JobStatus) Settled() bool {
	if s.Kind == cell.KindService && s.Running >= s.Count {
		return true
	}
	ended := s.Succeeded + s.Failed + s.Cancelled
	return s.Queued == 0 && s.Running == 0 && ended >= s.Count
}

// Explanation answers why a task is where it is.
type Explanation struct {
	Task  cell.TaskID   `json:"task"`
	State string        `json:"state"`
	Shard cell.ShardID  `json:"shard"`
	Chain []cell.Reason `json:"chain"`
}

// ShardStatus sums up one shard for operators.
type ShardStatus struct {
	Shard          cell.ShardID   `json:"shard"`
	Owner          cell.MemberID  `json:"owner"`
	OwnerAddr      string         `json:"owner_addr"`
	Epoch          cell.Epoch     `json:"epoch"`
	Capacity       cell.Resources `json:"capacity"`
	Free           cell.Resources `json:"free"`
	Queued         int            `json:"queued"`
	Running        int            `json:"running"`
	Workers        int            `json:"workers"`
	WorkersClaimed int            `json:"workers_claimed"`
}

// WorkerStatus is one worker for operators.
type WorkerStatus struct {
	Worker  cell.Worker    `json:"worker"`
	Shard   cell.ShardID   `json:"shard"`
	Claimed bool           `json:"claimed"`
	Used    cell.Resources `json:"used"`
	Tasks   int            `json:"tasks"`
}

// TeamStatus is one team's holding over the cell.
type TeamStatus struct {
	Team   string         `json:"team"`
	Used   cell.Resources `json:"held"`
	Quota  cell.Resources `json:"quota"`
	Queued int            `json:"queued"`
}

// MemberStatus is one entry VM's daemon as this one sees it.
type MemberStatus struct {
	Member        cell.MemberID `json:"member"`
	Addr          string        `json:"addr"`
	Zone          string        `json:"zone"`
	ConfigVersion uint64        `json:"config_version"`
	Live          bool          `json:"live"`
	Leaving       bool          `json:"leaving"`
}

// PatchAnswer says what became of a configuration patch, or what would become of one that is only tried.
type PatchAnswer struct {
	// ID is the patch's id.
	ID string `json:"id"`
	// Accepted means that Version is the patch's own version and in force.
	Accepted bool `json:"accepted"`
	// Version is the version in force, as far as known.
	Version uint64      `json:"version"`
	Reason  cell.Reason `json:"reason"`
	// RetryAfterMS is in milliseconds; zero if coming back will not help.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Document is the document after the patch. Only for a trial.
	Document *config.Document `json:"document,omitempty"`
	Problems []Problem        `json:"problems,omitempty"`
}

// The bodies of the lists.
type (
	// ShardList is the body of the shards' list.
	ShardList struct {
		Shards []ShardStatus `json:"shards"`
	}
	// WorkerList is the body of the workers' list.
	WorkerList struct {
		Workers []WorkerStatus `json:"workers"`
	}
	// TeamList is the body of the teams' list.
	TeamList struct {
		Teams []TeamStatus `json:"teams"`
	}
	// MemberList is the body of the members' list.
	MemberList struct {
		Members []MemberStatus `json:"members"`
	}
	// VersionList is the body of the configuration's history, newest first.
	VersionList struct {
		Versions []config.Versioned `json:"versions"`
	}
)
