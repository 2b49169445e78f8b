package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/peer"
	"laburnumpoint/internal/wire"
)

// Commands and results of a call that one daemon relays to another.
const (
	commandAccept = "accept"
	commandCancel = "cancel"
	commandFind   = "find"
	// commandExplain asks the owner why a job is in its state.
	commandExplain = "explain"
	// commandPending asks the owner for the number of a queue's jobs that have not started.
	commandPending = "pending"

	resultOK = "ok"
	// resultNoJob means that no such job exists. A cancellation of it is stored.
	resultNoJob = "unknown"
	// resultCancelled means that the accepted job was cancelled before.
	resultCancelled = "cancelled"
	// resultUnavailable means that nothing was stored and nothing will be.
	resultUnavailable = "unavailable"
	// resultUncertain means that the command may or may not take effect.
	resultUncertain = "uncertain"
)

// relay asks the owner, which reaches the store for as long as it is the owner, to carry out a command.
func (s *Service) relay(ctx context.Context, req *wire.IntakeRequest) *wire.IntakeReply {
	owner := s.Replica.Owner()
	if owner.Version == 0 || owner.Incarnation == s.Incarnation {
		return &wire.IntakeReply{Result: resultUnavailable}
	}
	return s.relayTo(ctx, owner.Address, req)
}

// relayTo asks the daemon at addr to carry out a command.
func (s *Service) relayTo(ctx context.Context, addr string, req *wire.IntakeRequest) *wire.IntakeReply {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	sent := &wire.IntakeRequest{Command: req.Command, Job: req.Job, Record: req.Record, TimeoutMs: relayTimeout.Milliseconds()}
	reply, err := s.Peers.Call(ctx, addr, &wire.Request{Body: &wire.Request_Intake{Intake: sent}})
	if err != nil {
		if !errors.Is(err, context.Canceled) {
			s.Log.Warn().Str("job", req.Job).Str("command", req.Command).Str("to", addr).Err(err).Msg("relay failed")
		}
		if errors.Is(err, peer.ErrNotSent) {
			return &wire.IntakeReply{Result: resultUnavailable}
		}
		return &wire.IntakeReply{Result: resultUncertain}
	}
	body := reply.GetIntake()
	if body == nil {
		return &wire.IntakeReply{Result: resultUnavailable}
	}
	if req.Command != commandFind && req.Command != commandPending {
		s.Log.Info().Str("job", req.Job).Str("command", req.Command).Str("to", addr).Str("result", body.Result).Msg("relayed")
	}
	return body
}

// notifyOwner notifies the owner, in the background, of a command that is stored. The owner reads it from the store too,
// so a lost notice only costs time.
func (s *Service) notifyOwner(stored *wire.IntakeRequest) {
	owner := s.Replica.Owner()
	if owner.Version == 0 || owner.Incarnation == s.Incarnation {
		return
	}
	req := &wire.IntakeRequest{Command: stored.Command, Job: stored.Job, Record: stored.Record, Stored: true}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
		defer cancel()
		if _, err := s.Peers.Call(ctx, owner.Address, &wire.Request{Body: &wire.Request_Intake{Intake: req}}); err != nil {
			s.Log.Warn().Str("job", req.Job).Str("command", req.Command).Str("owner", owner.Node).Err(err).Msg("owner not notified of stored command")
		}
	}()
}

// HandleIntake carries out a command or query that another daemon has relayed, for example because the store doesn't
// answer it. A command that is already stored is only applied to the replica.
func (s *Service) HandleIntake(ctx context.Context, req *wire.IntakeRequest) *wire.Reply {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.TimeoutMs)*time.Millisecond)
	defer cancel()
	return &wire.Reply{Body: &wire.Reply_Intake{Intake: s.handleCommand(ctx, req)}}
}

func (s *Service) handleCommand(ctx context.Context, req *wire.IntakeRequest) *wire.IntakeReply {
	id := graph.JobID(req.Job)
	switch req.Command {
	case commandAccept:
		return &wire.IntakeReply{Result: s.acceptRelayed(ctx, id, req)}
	case commandCancel:
		return &wire.IntakeReply{Result: s.cancelRelayed(ctx, id, req)}
	case commandFind:
		return s.findRelayed(ctx, id)
	case commandExplain:
		if reasons, ok := s.ExplainIfOwner(ctx, id); ok {
			return &wire.IntakeReply{Result: resultOK, Detail: reasons}
		}
	case commandPreview:
		return s.previewRelayed(ctx, req)
	case commandPending:
		if s.replicaIsCurrent() {
			return &wire.IntakeReply{Result: resultOK, Pending: uint32(s.Replica.PendingJobs(req.Job))}
		}
	}
	return &wire.IntakeReply{Result: resultUnavailable}
}

// mayStoreForOthers reports whether this daemon tries to store a command for another one. It does so only if the store answered
// the last call: a write at the beginning of an outage would make a certain refusal uncertain. The owner, which is asked first,
// makes that call if need be.
func (s *Service) mayStoreForOthers(ctx context.Context, id graph.JobID) bool {
	if s.StoreUp() {
		return true
	}
	if s.StoreDown() || s.Replica.Owner().Incarnation != s.Incarnation {
		return false
	}
	_, _, err := s.findWithTimeout(ctx, id)
	return err == nil
}

// decodeRelayed decodes what another daemon relays. Like a caller's job it is refused, before it is decoded, if it has too many steps.
func decodeRelayed(record []byte, v any) error {
	var job struct {
		Spec json.RawMessage `json:"spec"`
	}
	if err := json.Unmarshal(record, &job); err != nil {
		return err
	}
	if err := graph.CheckDocument(job.Spec); err != nil {
		return err
	}
	return json.Unmarshal(record, v)
}

func (s *Service) acceptRelayed(ctx context.Context, id graph.JobID, req *wire.IntakeRequest) string {
	var record ledger.JobRecord
	if len(req.Record) > s.Replica.MaxRowBytes() || decodeRelayed(req.Record, &record) != nil || record.Spec == nil {
		return resultUnavailable
	}
	if req.Stored {
		s.Replica.ObserveAccepted(id, record)
		return resultOK
	}
	if _, known := s.Replica.Job(id); !known && !s.mayStoreForOthers(ctx, id) {
		return resultUnavailable
	}
	return storeResult(s.Replica.Accept(ctx, id, record))
}

func (s *Service) cancelRelayed(ctx context.Context, id graph.JobID, req *wire.IntakeRequest) string {
	if req.Stored {
		s.Replica.ObserveCancelled(id)
		return resultOK
	}
	if j, known := s.Replica.Job(id); !(known && j.Cancelled) && !s.mayStoreForOthers(ctx, id) {
		return resultUnavailable
	}
	if len(req.Record) > 0 {
		var mark ledger.JobRecord
		if len(req.Record) > s.Replica.MaxRowBytes() || json.Unmarshal(req.Record, &mark) != nil {
			return resultUnavailable
		}
		return storeResult(s.Replica.CancelUnknown(ctx, id, mark))
	}
	return storeResult(s.Replica.Cancel(ctx, id))
}

func (s *Service) findRelayed(ctx context.Context, id graph.JobID) *wire.IntakeReply {
	j, ok, err := s.Replica.Find(ctx, id)
	switch {
	case err != nil:
		return &wire.IntakeReply{Result: resultUnavailable}
	case !ok:
		return &wire.IntakeReply{Result: resultNoJob}
	}
	return &wire.IntakeReply{Result: resultOK, State: string(j.State())}
}
