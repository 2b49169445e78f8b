// Package wire holds the messages between daemons and their conversion to and from the types of package cell.
package wire

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"laburnumpoint/internal/cell"
)

// FromResources converts r to its message.
func FromResources(r cell.Resources) *Resources {
	return &Resources{
		MilliCpu:     r.MilliCPU,
		MemoryMib:    r.MemoryMiB,
		Accelerators: r.Accelerators,
		Slots:        r.Slots,
	}
}

// ToResources converts r from its message; nil gives zero resources.
func ToResources(r *Resources) cell.Resources {
	return cell.Resources{
		MilliCPU:     r.GetMilliCpu(),
		MemoryMiB:    r.GetMemoryMib(),
		Accelerators: r.GetAccelerators(),
		Slots:        r.GetSlots(),
	}
}

// FromTask converts t to its message.
func FromTask(t cell.Task) *Task {
	return &Task{
		Id:             string(t.ID),
		Job:            string(t.Job),
		Kind:           string(t.Kind),
		Team:           t.Team,
		Class:          string(t.Class),
		Pool:           t.Pool,
		Claim:          FromResources(t.Claim),
		GangSize:       int32(t.GangSize),
		Stoppable:      t.Stoppable,
		Idempotent:     t.Idempotent,
		EstimatedRunMs: t.EstimatedRun.Milliseconds(),
		Payload:        t.Payload,
	}
}

// ToTask converts t from its message; nil gives the zero task.
func ToTask(t *Task) cell.Task {
	return cell.Task{
		ID:           cell.TaskID(t.GetId()),
		Job:          cell.JobID(t.GetJob()),
		Kind:         cell.TaskKind(t.GetKind()),
		Team:         t.GetTeam(),
		Class:        cell.PriorityClass(t.GetClass()),
		Pool:         t.GetPool(),
		Claim:        ToResources(t.GetClaim()),
		GangSize:     int(t.GetGangSize()),
		Stoppable:    t.GetStoppable(),
		Idempotent:   t.GetIdempotent(),
		EstimatedRun: time.Duration(t.GetEstimatedRunMs()) * time.Millisecond,
		Payload:      t.GetPayload(),
	}
}

// FromReason converts r to its message.
func FromReason(r cell.Reason) *Reason {
	return &Reason{Code: string(r.Code), Detail: r.Detail}
}

// ToReason converts r from its message; nil gives the empty reason.
func ToReason(r *Reason) cell.Reason {
	return cell.Reason{Code: cell.ReasonCode(r.GetCode()), Detail: r.GetDetail()}
}

// FromOutcome converts o to its message and adds the digest of its answer.
func FromOutcome(o cell.Outcome) *Outcome {
	return &Outcome{
		Result:       string(o.Result),
		Answer:       o.Answer,
		Reason:       FromReason(o.Reason),
		RetryAfterMs: o.RetryAfter.Milliseconds(),
		Attempt: &Attempt{
			Task:  string(o.Attempt.Task),
			Epoch: uint64(o.Attempt.Epoch),
			N:     uint32(o.Attempt.Number),
		},
		Worker:   string(o.Worker),
		WaitedUs: o.Waited.Microseconds(),
		Digest:   xxhash.Sum64(o.Answer),
	}
}

// ToOutcome converts o from its message. It reports false if the answer does not match its digest.
func ToOutcome(o *Outcome) (cell.Outcome, bool) {
	if xxhash.Sum64(o.GetAnswer()) != o.GetDigest() {
		return cell.Outcome{}, false
	}
	return cell.Outcome{
		Result:     cell.Result(o.GetResult()),
		Answer:     o.GetAnswer(),
		Reason:     ToReason(o.GetReason()),
		RetryAfter: time.Duration(o.GetRetryAfterMs()) * time.Millisecond,
		Attempt: cell.Attempt{
			Task:   cell.TaskID(o.GetAttempt().GetTask()),
			Epoch:  cell.Epoch(o.GetAttempt().GetEpoch()),
			Number: cell.AttemptNumber(o.GetAttempt().GetN()),
		},
		Worker: cell.WorkerID(o.GetWorker()),
		Waited: time.Duration(o.GetWaitedUs()) * time.Microsecond,
	}, true
}
