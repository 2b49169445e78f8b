package edge

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
)

// handler serves the HTTP interface. It holds no state of the cell.
type handler struct {
	commands Commands
	queries  Queries
	opts     Options
	metrics  *edgeMetrics
}

// NewHandler returns the handler of the HTTP interface to commands and queries.
func NewHandler(commands Commands, queries Queries, opts Options) http.Handler {
	h := &handler{commands: commands, queries: queries, opts: opts.withDefaults()}
	h.metrics = newEdgeMetrics(h.opts.Metrics)
	return h.routes()
}

func (h *handler) routes() http.Handler {
	r := chi.NewRouter()
	r.Use(h.endInput)
	r.NotFound(h.notFound)
	r.MethodNotAllowed(h.methodNotAllowed)
	r.Get("/healthz", h.healthz)
	r.Get("/readyz", h.readyz)
	r.Get("/metrics", h.writeMetrics)
	r.Group(h.requestRoutes)
	r.Group(h.cancelRoutes)
	r.Group(h.commandRoutes)
	r.Group(h.watchRoutes)
	r.Group(h.queryRoutes)
	return r
}

func (h *handler) requestRoutes(r chi.Router) {
	r.Use(h.limitConcurrency(h.opts.MaxRequests))
	r.Post(api.PathRequests, h.run)
}

func (h *handler) cancelRoutes(r chi.Router) {
	r.Use(h.limitConcurrency(h.opts.MaxCancels))
	r.Delete(api.PathJobs+"/{id}", h.cancelJob)
	r.Post(api.PathTasksCancel, h.cancelTasks)
}

func (h *handler) commandRoutes(r chi.Router) {
	r.Use(h.limitConcurrency(h.opts.MaxCommands))
	r.Post(api.PathJobs, h.submitJob)
	r.Post(api.PathConfigPatches, h.patch)
	r.Put(api.PathWorkers+"/{id}/drain", h.drain)
	r.Delete(api.PathWorkers+"/{id}/drain", h.undrain)
}

func (h *handler) watchRoutes(r chi.Router) {
	r.Use(h.limitConcurrency(h.opts.MaxWatches))
	r.Get(api.PathJobs+"/{id}", h.job)
}

func (h *handler) queryRoutes(r chi.Router) {
	r.Use(h.limitConcurrency(h.opts.MaxQueries))
	r.Get(api.PathTasks+"/{id}/why", h.explain)
	r.Get(api.PathConfig, h.config)
	r.Get(api.PathConfigHistory, h.history)
	r.Post(api.PathConfigPatchDryRun, h.dryRunPatch)
	r.Get(api.PathShards, h.shards)
	r.Get(api.PathWorkers, h.workers)
	r.Get(api.PathTeams, h.teams)
	r.Get(api.PathMembers, h.members)
}

// limitConcurrency bounds the number of requests that a group of routes serves at once. A request beyond the bound is
// refused immediately.
func (h *handler) limitConcurrency(maxInFlight int) func(http.Handler) http.Handler {
	slots := make(chan struct{}, maxInFlight)
	return func(next http.Handler) http.Handler {
		return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case slots <- struct{}{}:
				defer func() { <-slots }()
				next.ServeHTTP(w, r)
			default:
				h.writeError(w, r, overloadError())
			}
		})
	}
}

func (h *handler) notFound(w http.ResponseWriter, r *http.Request) {
	h.writeError(w, r, requestError{status: http.StatusNotFound, reason: invalid("no such path")})
}

func (h *handler) methodNotAllowed(w http.ResponseWriter, r *http.Request) {
	h.writeError(w, r, requestError{status: http.StatusMethodNotAllowed, reason: invalid("the path does not support method " + r.Method)})
}

func invalid(detail string) cell.Reason {
	return cell.Reason{Code: cell.ReasonInvalid, Detail: detail}
}
