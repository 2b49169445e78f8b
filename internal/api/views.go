package api

import (
	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
)

// JobStatus counts a job's tasks by state.
type JobStatus struct {
	ID        cell.JobID    `json:"id"`
	Kind      cell.TaskKind `json:"kind"`
	Count     int           `json:"count"`
	Queued    int           `json:"queued"`
	Running   int           `json:"running"`
	Succeeded int           `json:"succeeded"`
	Failed    int           `json:"failed"`
	Cancelled int           `json:"cancelled"`
	Reasons   []cell.Reason `json:"reasons,omitempty"`
}

// Settled reports whether all tasks of a batch or gang have ended, or all tasks of a service are running.
func (s JobStatus) Settled() bool {
	if s.Kind == cell.KindService && s.Running >= s.Count {
		return true
	}
	ended := s.Succeeded + s.Failed + s.Cancelled
	return s.Queued == 0 && s.Running == 0 && ended >= s.Count
}

// Explanation is a task's state and the reasons for it.
type Explanation struct {
	Task  cell.TaskID   `json:"task"`
	State string        `json:"state"`
	Shard cell.ShardID  `json:"shard"`
	Chain []cell.Reason `json:"chain"`
}

// ShardStatus is the state of a shard, for operators.
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

// WorkerStatus is the state of a worker, for operators.
type WorkerStatus struct {
	Worker  cell.Worker    `json:"worker"`
	Shard   cell.ShardID   `json:"shard"`
	Claimed bool           `json:"claimed"`
	Used    cell.Resources `json:"used"`
	Tasks   int            `json:"tasks"`
}

// TeamStatus is a team's quota and usage in the whole cell.
type TeamStatus struct {
	Team string `json:"team"`
	// Used is the sum of the claims of the team's placed tasks.
	Used   cell.Resources `json:"held"`
	Quota  cell.Resources `json:"quota"`
	Queued int            `json:"queued"`
}

// MemberStatus is the state of an entry VM's daemon, as seen by the daemon that answers.
type MemberStatus struct {
	Member        cell.MemberID `json:"member"`
	Addr          string        `json:"addr"`
	Zone          string        `json:"zone"`
	ConfigVersion uint64        `json:"config_version"`
	Live          bool          `json:"live"`
	Leaving       bool          `json:"leaving"`
}

// PatchAnswer is the outcome of a configuration patch or of its dry run.
type PatchAnswer struct {
	// ID is the patch's id.
	ID string `json:"id"`
	// Accepted means that the patch is in force, as Version.
	Accepted bool `json:"accepted"`
	// Version is the version in force, as far as the answering daemon knows.
	Version uint64      `json:"version"`
	Reason  cell.Reason `json:"reason"`
	// RetryAfterMS is the time after which the caller should retry, in milliseconds; zero if a retry will not help.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
	// Document is the configuration document after the patch. It is set only for a dry run.
	Document *config.Document `json:"document,omitempty"`
	Problems []Problem        `json:"problems,omitempty"`
}

// Bodies of the answers that list several items.
type (
	// ShardList is the list of shards.
	ShardList struct {
		Shards []ShardStatus `json:"shards"`
	}
	// WorkerList is the list of workers.
	WorkerList struct {
		Workers []WorkerStatus `json:"workers"`
	}
	// TeamList is the list of teams.
	TeamList struct {
		Teams []TeamStatus `json:"teams"`
	}
	// MemberList is the list of members.
	MemberList struct {
		Members []MemberStatus `json:"members"`
	}
	// VersionList is the history of the configuration, newest first.
	VersionList struct {
		Versions []config.Versioned `json:"versions"`
	}
)
