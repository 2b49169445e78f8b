package cell

// WorkerID identifies a worker VM. A VM that replaces another has a new id.
type WorkerID string

// ShardID identifies a shard: a set of racks that has one owner at a time. The racks are in one availability zone, unless the
// shards span the whole cell.
type ShardID string

// MemberID identifies one incarnation of an entry VM's daemon. A restarted daemon has a new id.
type MemberID string

// Epoch is the number of an ownership of a shard, starting at 1 and increasing with each ownership. Workers refuse requests
// with a lower epoch than the highest they have seen.
type Epoch uint64

// WorkerState is the state of a worker according to the latest VM list of the platform.
type WorkerState string

// The states of a worker VM.
const (
	// WorkerLive means that the VM is running and accepts work.
	WorkerLive WorkerState = "live"
	// WorkerLeaving means that the VM accepts no new work and ends when its tasks have ended.
	WorkerLeaving WorkerState = "leaving"
	// WorkerGone means that the VM has ended, and with it every lease on it.
	WorkerGone WorkerState = "gone"
)

// Worker describes a worker VM as the platform lists it.
type Worker struct {
	ID WorkerID `json:"id"`
	// Addr is the runner's address: an IP address and a port.
	Addr string `json:"addr"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	Rack string `json:"rack"`
	// Pool is the group of workers of one shape to which the worker belongs, for instance "callsheet" or "media".
	Pool     string      `json:"pool"`
	Capacity Resources   `json:"capacity"`
	State    WorkerState `json:"state"`
}
