package httpserver

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/go-chi/chi/v5"

	"laburnumpoint/internal/httpplatform"
	"laburnumpoint/internal/platformapi"
	"laburnumpoint/internal/standin"
)

// Platform serves the simulated table, object store and VM list over HTTP.
type Platform struct {
	Table       *standin.Table
	ObjectStore *standin.ObjectStore
	VMList      *standin.VMList
	hosts       *hostRegistry
}

// VMListFaults lists the faults of the VM list.
type VMListFaults struct {
	// Down makes every query fail.
	Down bool `json:"down"`
	// Lag is the time after which the list shows a change of a worker.
	Lag time.Duration `json:"lag_ns"`
}

// PlatformCounts counts the operations that the platform served.
type PlatformCounts struct {
	Table         standin.TableCounts            `json:"table"`
	TableByPrefix map[string]standin.TableCounts `json:"by_key"`
	Objects       standin.ObjectCounts           `json:"objects"`
}

// NewPlatform returns an empty platform. Its VM list shows changes after vmListLag.
func NewPlatform(vmListLag time.Duration) *Platform {
	list := standin.NewVMList(vmListLag)
	return &Platform{
		Table:       standin.NewTable(),
		ObjectStore: standin.NewObjectStore(),
		VMList:      list,
		hosts:       newHostRegistry(list),
	}
}

// Handler returns the HTTP interface of the services, and the one for faults and counts under /control.
func (p *Platform) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get(httpplatform.PathRow, p.getRow)
	r.Get(httpplatform.PathRows, p.listRows)
	r.Post(httpplatform.PathTransactions, p.applyTransaction)
	r.Get(httpplatform.PathObjects+"*", p.getObject)
	r.Put(httpplatform.PathObjects+"*", p.putObject)
	r.Get(httpplatform.PathWorkers, p.listWorkers)
	r.Post(httpplatform.PathHosts, p.registerHost)
	r.Get("/control/counts", p.counts)
	r.Get("/control/table/log", p.tableLog)
	r.Put("/control/table/faults", p.setTableFaults)
	r.Put("/control/objects/faults", p.setObjectFaults)
	r.Put("/control/vmlist/faults", p.setVMListFaults)
	return r
}

func (p *Platform) getRow(w http.ResponseWriter, r *http.Request) {
	row, err := p.Table.Get(r.Context(), r.URL.Query().Get("key"))
	writeResult(w, row, err)
}

func (p *Platform) listRows(w http.ResponseWriter, r *http.Request) {
	rows, err := p.Table.List(r.Context(), r.URL.Query().Get("prefix"))
	writeResult(w, httpplatform.RowList{Rows: rows}, err)
}

func (p *Platform) applyTransaction(w http.ResponseWriter, r *http.Request) {
	var tx httpplatform.Transaction
	if !readJSON(w, r, &tx) {
		return
	}
	versions, err := p.Table.Apply(r.Context(), tx.Ops)
	writeResult(w, httpplatform.TransactionResult{Versions: versions}, err)
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	key, ok := objectKey(w, r)
	if !ok {
		return
	}
	data, err := p.ObjectStore.Get(r.Context(), key)
	if err != nil {
		writeResult(w, nil, err)
		return
	}
	writeBody(w, http.StatusOK, "application/octet-stream", data)
}

func (p *Platform) putObject(w http.ResponseWriter, r *http.Request) {
	key, ok := objectKey(w, r)
	if !ok {
		return
	}
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil || r.Header.Get(httpplatform.HeaderDigest) != httpplatform.Digest(data) {
		writeError(w, http.StatusBadRequest, httpplatform.CodeInvalid, "the body is incomplete or does not match its digest")
		return
	}
	writeResult(w, struct{}{}, p.ObjectStore.Put(r.Context(), key, data))
}

func (p *Platform) listWorkers(w http.ResponseWriter, r *http.Request) {
	workers, err := p.VMList.Workers(r.Context())
	if err != nil {
		writeResult(w, nil, err)
		return
	}
	writeWithETag(w, r, httpplatform.WorkerList{Workers: workers})
}

func (p *Platform) registerHost(w http.ResponseWriter, r *http.Request) {
	var host httpplatform.HostRegistration
	if !readJSON(w, r, &host) {
		return
	}
	p.hosts.register(host)
	writeJSON(w, http.StatusOK, struct{}{})
}

func (p *Platform) counts(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, PlatformCounts{
		Table:         p.Table.Counts(),
		TableByPrefix: p.Table.CountsByPrefix(),
		Objects:       p.ObjectStore.Counts(),
	})
}

func (p *Platform) tableLog(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Table.WriteLog())
}

func (p *Platform) setTableFaults(w http.ResponseWriter, r *http.Request) {
	var f standin.TableFaults
	if readJSON(w, r, &f) {
		p.Table.SetFaults(f)
		writeJSON(w, http.StatusOK, f)
	}
}

func (p *Platform) setObjectFaults(w http.ResponseWriter, r *http.Request) {
	var f standin.ObjectFaults
	if readJSON(w, r, &f) {
		p.ObjectStore.SetFaults(f)
		writeJSON(w, http.StatusOK, f)
	}
}

func (p *Platform) setVMListFaults(w http.ResponseWriter, r *http.Request) {
	var f VMListFaults
	if readJSON(w, r, &f) {
		p.VMList.SetDown(f.Down)
		p.VMList.SetLag(f.Lag)
		writeJSON(w, http.StatusOK, f)
	}
}

// writeResult answers with v, or with the error of a platform service. With an uncertain outcome there is no answer.
func writeResult(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, v)
	case errors.Is(err, platformapi.ErrConflict):
		writeError(w, http.StatusConflict, httpplatform.CodeConflict, "a condition of the transaction does not hold")
	case errors.Is(err, platformapi.ErrUnavailable):
		writeError(w, http.StatusServiceUnavailable, httpplatform.CodeUnavailable, "the service is down, the operation was not applied")
	case errors.Is(err, platformapi.ErrNotFound):
		writeError(w, http.StatusNotFound, httpplatform.CodeNotFound, "the object does not exist")
	default:
		abortConnection()
	}
}

// objectKey returns the object key in the request's path. If there is none it answers with an error and returns false.
func objectKey(w http.ResponseWriter, r *http.Request) (string, bool) {
	key, err := url.PathUnescape(r.URL.EscapedPath()[len(httpplatform.PathObjects):])
	if err != nil || key == "" {
		writeError(w, http.StatusBadRequest, httpplatform.CodeInvalid, "the object key is empty or badly escaped")
		return "", false
	}
	return key, true
}
