// Package ledger keeps what must last of graph jobs in the store, and a copy of it in memory on every daemon.
//
// The intake table holds what callers were told is accepted: jobs and cancellations, written by the daemon that answers.
// The progress table holds what the owner has learnt: ownership, jobs' progress and the workers it has used. Each
// transaction of the owner is conditional on its ownership row, so that a superseded owner writes nothing.
package ledger

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/rowstore"
)

// Tables and names of rows.
const (
	intakeTable   = "laburnumpoint-intake"
	progressTable = "laburnumpoint-progress"

	jobPrefix      = "job/"
	cancelPrefix   = "cancel/"
	progressPrefix = "progress/"
	workerPrefix   = "worker/"
	ownerRowName   = "owner"

	// intakeParts spreads the intake. A part takes one transaction after the other, so that a store that answers sixty
	// times as slowly as usual takes four a second of each; the jobs of a busy second are some hundred.
	intakeParts = 64
)

// JobRecord is a job as it was accepted, with its queue's policy at that time.
type JobRecord struct {
	Queue graph.Queue `json:"queue"`
	Spec  *graph.Spec `json:"spec"`
	// AcceptedMS is the time of day of the accepting daemon, in milliseconds since the Unix epoch.
	AcceptedMS int64 `json:"at"`
}

// OwnerRecord is the ownership row.
type OwnerRecord struct {
	Node string `json:"node"`
	// Incarnation tells apart the processes that ran on a node.
	Incarnation string `json:"life"`
	// Address is where the owner answers other daemons.
	Address string `json:"addr"`
	Epoch   uint64 `json:"epoch"`
	// Cores is the processor time of the owner's VM; Standbys counts the other daemons on VMs about as strong.
	Cores    float64 `json:"cores,omitempty"`
	Standbys int     `json:"standbys,omitempty"`
	// Released means that the owner has given up ownership and sends no orders any more.
	Released bool `json:"released,omitempty"`
	// Renewals changes with each renewal.
	Renewals uint64 `json:"beat"`
}

// WorkerRecord tells a later owner of a worker that may run tasks.
type WorkerRecord struct {
	dispatch.Worker
}

func jobKey(id graph.JobID) rowstore.Key    { return intakeKey(id, jobPrefix) }
func cancelKey(id graph.JobID) rowstore.Key { return intakeKey(id, cancelPrefix) }

func intakeKey(id graph.JobID, prefix string) rowstore.Key {
	sum := uint32(0)
	for _, b := range []byte(id) {
		sum = sum*31 + uint32(b)
	}
	return rowstore.Key{Table: intakeTable, Part: partName(int(sum % intakeParts)), Name: prefix + string(id)}
}

func partName(n int) string { return fmt.Sprintf("%02d", n) }

func ownerKey() rowstore.Key { return rowstore.Key{Table: progressTable, Name: ownerRowName} }

func progressKey(id graph.JobID) rowstore.Key {
	return rowstore.Key{Table: progressTable, Name: progressPrefix + string(id)}
}

func workerKey(id dispatch.WorkerID) rowstore.Key {
	return rowstore.Key{Table: progressTable, Name: workerPrefix + string(id)}
}

// encode returns the JSON of a record. A record that can't be encoded is a broken invariant.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("ledger: a record always encodes: %v", err))
	}
	return data
}

// jobIDFromRowName returns the job that a row's name speaks of.
func jobIDFromRowName(name, prefix string) (graph.JobID, bool) {
	id, ok := strings.CutPrefix(name, prefix)
	return graph.JobID(id), ok
}

// NewJobRecord returns the record of a job accepted at the given time of day.
func NewJobRecord(queue graph.Queue, spec *graph.Spec, wall time.Time) JobRecord {
	return JobRecord{Queue: queue, Spec: spec, AcceptedMS: wall.UnixMilli()}
}
