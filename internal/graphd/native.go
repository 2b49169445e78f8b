package graphd

import (
	"net/http"

	"github.com/phuslu/log"

	"laburnumpoint/internal/entry"
	"laburnumpoint/internal/graphapi"
	"laburnumpoint/internal/graphproto"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/owner"
	"laburnumpoint/internal/rowstore"
)

// NativeBackends returns the backends of a cell that speaks the product's own protocol, with its store at addr.
func NativeBackends(addr string) Backends {
	client := graphproto.NewClient()
	return Backends{
		Store:         &graphproto.Rows{Addr: addr, Client: client},
		Workers:       &graphproto.Runners{Client: client},
		PolicyService: graphproto.NoPolicy{},
		NewRegistry: func(store rowstore.Store, clock monotime.Clock, logger *log.Logger) owner.WorkerRegistry {
			return &graphproto.Register{Store: store, Clock: clock, Log: logger}
		},
		FollowConfig:     graphproto.FollowQueues,
		NewCallerHandler: func(service *entry.Service) http.Handler { return graphapi.Handler(service) },
	}
}
