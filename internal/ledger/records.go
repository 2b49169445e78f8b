// Package ledger stores the durable state of graph jobs and gives each daemon a replica of it in memory.
//
// The intake table holds accepted jobs and cancellations, written by the daemon that answers the caller. The progress table
// is written by the owner: it holds the ownership row, the jobs' progress and the workers that the owner has used. Each of
// the owner's transactions is conditional on the ownership row, so that a superseded owner can't write.
package ledger

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/rowstore"
)

// Names of tables and prefixes of row names.
const (
	intakeTable   = "laburnumpoint-intake"
	progressTable = "laburnumpoint-progress"

	jobPrefix      = "job/"
	cancelPrefix   = "cancel/"
	progressPrefix = "progress/"
	detailPrefix   = "detail/"
	workerPrefix   = "worker/"
	ownerRowName   = "owner"

	// intakeParts is the number of parts of the intake table. The store applies the transactions of a part one after the
	// other: a store sixty times slower than usual applies four a second for each part, and a busy second brings about a
	// hundred jobs.
	intakeParts = 64
)

// JobRecord is the stored record of a job as it was accepted, with its queue's settings at that time.
type JobRecord struct {
	Queue graph.Queue `json:"queue"`
	// Organisation names the organisation that handed the job in; empty for none.
	Organisation string      `json:"org,omitempty"`
	Spec         *graph.Spec `json:"spec"`
	// AcceptedMS is when the accepting daemon accepted the job by its wall clock, in milliseconds since the Unix epoch.
	AcceptedMS int64 `json:"at"`
	// CancelledBefore means that the job was cancelled before it was accepted. Without a spec the record is a mark.
	CancelledBefore bool `json:"cancelled,omitempty"`
}

// Age returns the time since the job was accepted, by the wall clocks of the accepting daemon and of this one.
func (r *JobRecord) Age() time.Duration {
	return max(0, time.Duration(time.Now().UnixMilli()-r.AcceptedMS)*time.Millisecond)
}

var errNoSpec = errors.New("job record without a spec")

// check returns an error unless the record describes a job that could have been accepted.
func (r *JobRecord) check() error {
	if r.Spec == nil {
		return errNoSpec
	}
	return r.Spec.Validate()
}

// OwnerRecord is the content of the ownership row.
type OwnerRecord struct {
	Node string `json:"node"`
	// Incarnation distinguishes the owner's process from earlier ones of its node.
	Incarnation string `json:"life"`
	// Address is where the owner accepts calls of other daemons.
	Address string `json:"addr"`
	Epoch   uint64 `json:"epoch"`
	// Cores is the processor time of the owner's VM, in cores; Standbys counts the other daemons on VMs about as strong.
	Cores    float64 `json:"cores,omitempty"`
	Standbys int     `json:"standbys,omitempty"`
	// Released means that the owner has given up ownership and sends no more orders.
	Released bool `json:"released,omitempty"`
	// Renewals increases with each write of the row, so that the row changes.
	Renewals uint64 `json:"beat"`
}

// WorkerRecord is the stored record of a worker that may run tasks; a later owner learns from it which workers to await.
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

// encode returns the JSON of a record. It panics if the record can't be encoded, which is a programming error.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(fmt.Sprintf("ledger: record could not be encoded as JSON: %v", err))
	}
	return data
}

// jobIDFromRowName returns the part of a row's name after the prefix; ok is false if the name doesn't have the prefix.
func jobIDFromRowName(name, prefix string) (graph.JobID, bool) {
	id, ok := strings.CutPrefix(name, prefix)
	return graph.JobID(id), ok
}

// NewJobRecord returns the record of a job accepted at the given wall-clock time.
func NewJobRecord(queue graph.Queue, organisation string, spec *graph.Spec, wall time.Time) JobRecord {
	return JobRecord{Queue: queue, Organisation: organisation, Spec: spec, AcceptedMS: wall.UnixMilli()}
}
