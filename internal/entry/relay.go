package entry

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/ledger"
	"laburnumpoint/internal/peer"
	"laburnumpoint/internal/rowstore"
	"laburnumpoint/internal/wire"
)

// Commands and results of a relayed call.
const (
	commandAccept = "accept"
	commandCancel = "cancel"
	commandFind   = "find"

	resultOK          = "ok"
	resultUnknown     = "unknown"
	resultUnavailable = "unavailable"
	resultUncertain   = "uncertain"
)

// relay asks the owner, which reaches the store as long as it owns, to carry out a command.
func (s *Service) relay(ctx context.Context, req *wire.IntakeRequest) (result string, state graph.State) {
	owner := s.Replica.Owner()
	if owner.Version == 0 || owner.Life == s.Life {
		return resultUnavailable, ""
	}
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	req.TimeoutMs = relayTimeout.Milliseconds()
	reply, err := s.Peers.Call(ctx, owner.Address, &wire.Request{Body: &wire.Request_Intake{Intake: req}})
	if err != nil {
		s.Log.Warn().Str("job", req.Job).Str("command", req.Command).Str("owner", owner.Node).Err(err).Msg("relay failed")
		if errors.Is(err, peer.ErrNotSent) {
			return resultUnavailable, ""
		}
		return resultUncertain, ""
	}
	body := reply.GetIntake()
	if body == nil {
		return resultUnavailable, ""
	}
	if req.Command != commandFind {
		s.Log.Info().Str("job", req.Job).Str("command", req.Command).Str("owner", owner.Node).Str("result", body.Result).Msg("relayed")
	}
	return body.Result, graph.State(body.State)
}

// notify tells the owner, in the background, of a command that the store has carried out. The owner follows the store
// too: a notice that is lost costs time only.
func (s *Service) notify(done *wire.IntakeRequest) {
	owner := s.Replica.Owner()
	if owner.Version == 0 || owner.Life == s.Life {
		return
	}
	req := &wire.IntakeRequest{Command: done.Command, Job: done.Job, Record: done.Record, Stored: true}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), relayTimeout)
		defer cancel()
		if _, err := s.Peers.Call(ctx, owner.Address, &wire.Request{Body: &wire.Request_Intake{Intake: req}}); err != nil {
			s.Log.Warn().Str("job", req.Job).Str("command", req.Command).Str("owner", owner.Node).Err(err).Msg("notice failed")
		}
	}()
}

// HandleIntake carries out a command for a daemon that the store turns away.
func (s *Service) HandleIntake(ctx context.Context, req *wire.IntakeRequest) *wire.Reply {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(req.TimeoutMs)*time.Millisecond)
	defer cancel()
	result, state := s.intake(ctx, req)
	reply := &wire.IntakeReply{Result: result, State: string(state)}
	return &wire.Reply{Body: &wire.Reply_Intake{Intake: reply}}
}

func (s *Service) intake(ctx context.Context, req *wire.IntakeRequest) (string, graph.State) {
	id := graph.JobID(req.Job)
	switch req.Command {
	case commandAccept:
		var record ledger.JobRecord
		if err := json.Unmarshal(req.Record, &record); err != nil || record.Spec == nil {
			return resultUnavailable, ""
		}
		if req.Stored {
			s.Replica.NoteAccepted(id, record)
			return resultOK, ""
		}
		if s.StoreDown() {
			return resultUnavailable, ""
		}
		return writeResult(s.Replica.Accept(ctx, id, record)), ""
	case commandCancel:
		if req.Stored {
			s.Replica.NoteCancelled(id)
			return resultOK, ""
		}
		if s.StoreDown() {
			return resultUnavailable, ""
		}
		return writeResult(s.Replica.Cancel(ctx, id)), ""
	case commandFind:
		j, ok, err := s.Replica.Find(ctx, id)
		if err != nil {
			return resultUnavailable, ""
		}
		if !ok {
			return resultUnknown, ""
		}
		return resultOK, j.State()
	}
	return resultUnavailable, ""
}

func writeResult(err error) string {
	switch {
	case err == nil:
		return resultOK
	case errors.Is(err, rowstore.ErrUnavailable):
		return resultUnavailable
	}
	return resultUncertain
}
