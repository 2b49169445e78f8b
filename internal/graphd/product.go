package graphd

import (
	"github.com/phuslu/log"

	"laburnumpoint/internal/entry"
	"laburnumpoint/internal/graphapi"
	"laburnumpoint/internal/graphproto"
	"laburnumpoint/internal/monotime"
	"laburnumpoint/internal/owner"
	"laburnumpoint/internal/rowstore"
)

// NativeBackends returns the backends of a cell that uses the project's native protocol, package graphproto, with its row
// store at storeAddr.
func NativeBackends(storeAddr string) Backends {
	client := graphproto.NewClient()
	return Backends{
		Store:         &graphproto.StoreClient{Addr: storeAddr, Client: client},
		Workers:       &graphproto.WorkerClient{Client: client},
		PolicyService: graphproto.NoPolicyService{},
		NewRegistry: func(store rowstore.Store, clock monotime.Clock, logger *log.Logger) owner.WorkerRegistry {
			return graphproto.NewWorkerRegistry(store, clock, logger)
		},
		FollowConfig: graphproto.FollowQueueConfig,
		DecodeConfig: func(document []byte, _ *log.Logger) (*entry.Config, error) {
			return graphproto.DecodeQueueConfig(document)
		},
		NewCallerHandler: graphapi.Handler,
	}
}
