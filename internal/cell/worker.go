package cell

// WorkerID names a worker VM for its whole life; a replaced VM has a new id.
type WorkerID string

// ShardID names a shard: a set of racks inside one availability zone that has one owner at a time.
type ShardID string

// MemberID names one run of an entry VM's daemon; a restarted daemon has a new id.
type MemberID string

// Epoch numbers the ownerships of a shard, upwards from 1. Workers refuse a lower epoch than the highest they have seen.
type Epoch uint64

// WorkerState is what the platform's VM list last said of a worker.
type WorkerState string

// The states of a worker VM.
const (
	// WorkerLive means that the VM runs and takes work.
	WorkerLive WorkerState = "live"
	// WorkerLeaving means that the VM takes no new work and ends when its tasks have.
	WorkerLeaving WorkerState = "leaving"
	// WorkerGone means that the VM, and with it every lease it held, has ended.
	WorkerGone WorkerState = "gone"
)

// Worker describes a worker VM as the platform lists it.
type Worker struct {
	ID WorkerID `json:"id"`
	// Addr is the runner's address, an IP number and a port.
	Addr string `json:"addr"`
	// Zone is the availability zone.
	Zone string `json:"zone"`
	Rack string `json:"rack"`
	// Pool groups workers of one shape, for instance "callsheet" or "media".
	Pool     string      `json:"pool"`
	Capacity Resources   `json:"capacity"`
	State    WorkerState `json:"state"`
}
