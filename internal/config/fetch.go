package config

import (
	"context"
	"errors"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/wire"
)

// errVersionTooOld means that a member has no version as new as the one asked for.
var errVersionTooOld = errors.New("config: member's version is older than the one asked for")

// PeerSender sends a request to another member's daemon.
type PeerSender interface {
	Call(ctx context.Context, addr string, req *wire.Request) (*wire.Reply, error)
}

// PeerFetcher fetches configuration versions from other members.
type PeerFetcher struct {
	Client PeerSender
}

var _ Fetcher = PeerFetcher{}

// FetchConfig implements Fetcher.
func (f PeerFetcher) FetchConfig(ctx context.Context, addr string, atLeast uint64) (Versioned, error) {
	body := &wire.Request_Config{Config: &wire.ConfigRequest{Version: atLeast}}
	reply, err := f.Client.Call(ctx, addr, &wire.Request{Body: body})
	if err != nil {
		return Versioned{}, err
	}
	got := reply.GetConfig()
	if got.GetVersion() < atLeast {
		return Versioned{}, errVersionTooOld
	}
	doc, err := Parse(got.GetDocument())
	if err != nil {
		return Versioned{}, err
	}
	return Versioned{Version: got.GetVersion(), Document: doc}, nil
}

// HandleConfigRequest answers another member with the local version if it is at least the one asked for.
func (s *Store) HandleConfigRequest(req *wire.ConfigRequest) *wire.Reply {
	current, _ := s.Current()
	if current.Version == 0 || current.Version < req.GetVersion() {
		reason := wire.FromReason(cell.Reason{Code: cell.ReasonConfigStale})
		return &wire.Reply{Body: &wire.Reply_Refused{Refused: reason}}
	}
	return &wire.Reply{Body: &wire.Reply_Config{Config: &wire.ConfigReply{
		Version:  current.Version,
		Document: current.Document.Encode(),
	}}}
}
