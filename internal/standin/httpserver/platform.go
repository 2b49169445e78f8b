package httpserver

import (
	"errors"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/go-chi/chi/v5"

	"laburnumpoint/internal/httpplatform"
	"laburnumpoint/internal/platform"
	"laburnumpoint/internal/standin"
)

// Platform serves the table, the object store and the VM list.
type Platform struct {
	Table   *standin.Table
	Objects *standin.Objects
	VMList  *standin.VMList
	hosts   *hostTable
}

// VMListFaults says how the VM list misbehaves.
type VMListFaults struct {
	// Down refuses every query.
	Down bool `json:"down"`
	// Lag is the time between a change of a worker and its being listed.
	Lag time.Duration `json:"lag_ns"`
}

// PlatformCounts counts the operations that the platform served.
type PlatformCounts struct {
	Table   standin.TableCounts            `json:"table"`
	ByKey   map[string]standin.TableCounts `json:"by_key"`
	Objects standin.ObjectCounts           `json:"objects"`
}

// NewPlatform returns an empty platform whose VM list lags by listLag.
func NewPlatform(listLag time.Duration) *Platform {
	list := standin.NewVMList(listLag)
	return &Platform{
		Table:   standin.NewTable(),
		Objects: standin.NewObjects(),
		VMList:  list,
		hosts:   newHostTable(list),
	}
}

// Handler returns the HTTP interface.
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
	answer(w, row, err)
}

func (p *Platform) listRows(w http.ResponseWriter, r *http.Request) {
	rows, err := p.Table.List(r.Context(), r.URL.Query().Get("prefix"))
	answer(w, httpplatform.RowList{Rows: rows}, err)
}

func (p *Platform) applyTransaction(w http.ResponseWriter, r *http.Request) {
	var tx httpplatform.Transaction
	if !readJSON(w, r, &tx) {
		return
	}
	versions, err := p.Table.Apply(r.Context(), tx.Ops)
	answer(w, httpplatform.TransactionResult{Versions: versions}, err)
}

func (p *Platform) getObject(w http.ResponseWriter, r *http.Request) {
	key, ok := objectKey(w, r)
	if !ok {
		return
	}
	data, err := p.Objects.Get(r.Context(), key)
	if err != nil {
		answer(w, nil, err)
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
		writeError(w, http.StatusBadRequest, httpplatform.CodeInvalid, "value is not whole")
		return
	}
	answer(w, struct{}{}, p.Objects.Put(r.Context(), key, data))
}

func (p *Platform) listWorkers(w http.ResponseWriter, r *http.Request) {
	workers, err := p.VMList.Workers(r.Context())
	if err != nil {
		answer(w, nil, err)
		return
	}
	writeTagged(w, r, httpplatform.WorkerList{Workers: workers})
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
		Table:   p.Table.Counts(),
		ByKey:   p.Table.CountsByPrefix(),
		Objects: p.Objects.Counts(),
	})
}

func (p *Platform) tableLog(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, http.StatusOK, p.Table.Log())
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
		p.Objects.SetFaults(f)
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

// answer answers with v, or with the error of a platform service.
func answer(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, v)
	case errors.Is(err, platform.ErrConflict):
		writeError(w, http.StatusConflict, httpplatform.CodeConflict, "condition failed")
	case errors.Is(err, platform.ErrUnavailable):
		writeError(w, http.StatusServiceUnavailable, httpplatform.CodeUnavailable, "not applied")
	case errors.Is(err, platform.ErrNotFound):
		writeError(w, http.StatusNotFound, httpplatform.CodeNotFound, "no such object")
	default:
		loseAnswer()
	}
}

// objectKey returns the key in the request's path; on failure it has answered.
func objectKey(w http.ResponseWriter, r *http.Request) (string, bool) {
	key, err := url.PathUnescape(r.URL.EscapedPath()[len(httpplatform.PathObjects):])
	if err != nil || key == "" {
		writeError(w, http.StatusBadRequest, httpplatform.CodeInvalid, "bad key")
		return "", false
	}
	return key, true
}
