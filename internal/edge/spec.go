package edge

import (
	"bytes"
	"fmt"
	"net/http"
	"time"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
)

// Bounds of tasks, jobs and cancellations.
const (
	maxJobCount     = 100_000
	maxCancelTasks  = 100_000
	maxEstimatedRun = 90 * 24 * time.Hour
	// maxClaimAmount bounds each dimension of a claim, so that sums over a cell can't overflow.
	maxClaimAmount = 1 << 40
)

// readRun reads a request to run a task. The returned string is the request's id.
func (h *handler) readRun(w http.ResponseWriter, r *http.Request) (RunRequest, string, *requestError) {
	var spec api.TaskSpec
	if reqErr := h.readJSON(w, r, h.opts.MaxBodyBytes, &spec); reqErr != nil {
		return RunRequest{}, "", reqErr
	}
	var p problems
	task := taskFromSpec(spec, cell.KindRequest, "", &p)
	req := RunRequest{Task: task, Caller: r.Header.Get(api.HeaderCaller), Timeout: h.readTimeout(r, &p)}
	id := h.readRequestID(r, &req, &p)
	if len(p) > 0 {
		reqErr := badRequest(p)
		return RunRequest{}, "", &reqErr
	}
	return req, id, nil
}

// readRequestID returns the request's id, which the caller chose or which is new. It sets the task's id and whether the
// request may be sent again.
func (h *handler) readRequestID(r *http.Request, req *RunRequest, p *problems) string {
	if req.Caller != "" {
		p.require(validName(req.Caller), api.HeaderCaller, nameSyntax)
	}
	id := r.Header.Get(api.HeaderRequestID)
	if id == "" {
		p.require(req.Task.Idempotent, api.HeaderRequestID, "a non-idempotent request must have an id chosen by the caller")
		id = h.opts.NewID()
		req.Task.ID = cell.TaskID(id)
		return id
	}
	p.require(validID(id), api.HeaderRequestID, idSyntax)
	p.require(req.Caller != "", api.HeaderCaller, "a request with an id chosen by the caller must name its caller")
	first := r.Header.Get(api.HeaderFirstSend)
	p.require(first == "" || first == "true" || first == "false", api.HeaderFirstSend, "%q is neither true nor false", first)
	req.Resendable = true
	req.FirstSend = first == "true"
	req.Task.ID = api.RequestTaskID(req.Caller, id)
	return id
}

// readJob reads a submitted job.
func (h *handler) readJob(w http.ResponseWriter, r *http.Request) (Job, *requestError) {
	var spec api.JobSpec
	if reqErr := h.readJSON(w, r, h.opts.MaxBodyBytes, &spec); reqErr != nil {
		return Job{}, reqErr
	}
	var p problems
	job := h.jobFromSpec(spec, &p)
	if len(p) > 0 {
		reqErr := badRequest(p)
		return Job{}, &reqErr
	}
	return job, nil
}

func (h *handler) jobFromSpec(spec api.JobSpec, p *problems) Job {
	if spec.ID == "" {
		spec.ID = cell.JobID(h.opts.NewID())
	}
	p.require(validID(string(spec.ID)), "id", idSyntax)
	p.require(isJobKind(spec.Kind), "kind", "%q is not service, batch or gang", spec.Kind)
	p.require(spec.Count >= 1 && spec.Count <= maxJobCount, "count", "%d is not between 1 and %d", spec.Count, maxJobCount)
	p.require(spec.Floor == 0, "floor", "is not supported by this version of the cell; leave it out")
	template := taskFromSpec(spec.Task, spec.Kind, "task.", p)
	if spec.Kind == cell.KindGang {
		template.GangSize = spec.Count
	}
	return Job{ID: spec.ID, Kind: spec.Kind, Count: spec.Count, Template: template}
}

func isJobKind(k cell.TaskKind) bool {
	return k == cell.KindService || k == cell.KindBatch || k == cell.KindGang
}

// taskFromSpec returns the task that spec describes, without an id. prefix precedes the field names in problems.
func taskFromSpec(spec api.TaskSpec, kind cell.TaskKind, prefix string, p *problems) cell.Task {
	if spec.Class == "" {
		spec.Class = defaultClass(kind)
	}
	if spec.Claim.Slots == 0 {
		spec.Claim.Slots = 1
	}
	run := time.Duration(spec.EstimatedRunMS) * time.Millisecond
	p.require(validName(spec.Team), prefix+"team", nameSyntax)
	p.require(spec.Class.Valid(), prefix+"class", "%q is not urgent, service, normal or batch", spec.Class)
	p.require(spec.Pool == "" || validName(spec.Pool), prefix+"pool", nameSyntax)
	p.require(spec.EstimatedRunMS >= 0 && spec.EstimatedRunMS <= maxEstimatedRun.Milliseconds(),
		prefix+"estimated_run_ms", "%d is not between 0 and %d", spec.EstimatedRunMS, maxEstimatedRun.Milliseconds())
	validateClaim(spec.Claim, prefix+"claim.", p)
	return cell.Task{
		Kind:         kind,
		Team:         spec.Team,
		Class:        spec.Class,
		Pool:         spec.Pool,
		Claim:        spec.Claim,
		Stoppable:    spec.Stoppable,
		Idempotent:   spec.Idempotent == nil || *spec.Idempotent,
		EstimatedRun: run,
		Payload:      payloadFromSpec(spec, prefix, p),
	}
}

func defaultClass(kind cell.TaskKind) cell.PriorityClass {
	switch kind {
	case cell.KindService:
		return cell.ClassService
	case cell.KindBatch:
		return cell.ClassBatch
	default:
		return cell.ClassNormal
	}
}

func validateClaim(c cell.Resources, prefix string, p *problems) {
	amounts := []struct {
		name  string
		value int64
	}{
		{"milli_cpu", c.MilliCPU},
		{"memory_mib", c.MemoryMiB},
		{"accelerators", c.Accelerators},
		{"slots", c.Slots},
	}
	for _, a := range amounts {
		p.require(a.value >= 0 && a.value <= maxClaimAmount, prefix+a.name, "%d is not between 0 and %d", a.value, maxClaimAmount)
	}
}

func payloadFromSpec(spec api.TaskSpec, prefix string, p *problems) []byte {
	if spec.Payload == "" {
		return spec.PayloadBase64
	}
	p.require(len(spec.PayloadBase64) == 0, prefix+"payload", "payload and payload_base64 are both given")
	return []byte(spec.Payload)
}

// readPatch reads a patch of the configuration.
func (h *handler) readPatch(w http.ResponseWriter, r *http.Request) (Patch, *requestError) {
	var spec api.PatchSpec
	if reqErr := h.readJSON(w, r, h.opts.MaxBodyBytes, &spec); reqErr != nil {
		return Patch{}, reqErr
	}
	if spec.ID == "" {
		spec.ID = h.opts.NewID()
	}
	var p problems
	p.require(validID(spec.ID), "id", idSyntax)
	p.require(spec.Base >= 1, "base", "must be the version that the patch was made against")
	p.require(len(spec.Merge) > 0 && spec.Merge[0] == '{', "merge", "must be a JSON object (RFC 7396)")
	if len(p) > 0 {
		reqErr := badRequest(p)
		return Patch{}, &reqErr
	}
	return Patch{ID: spec.ID, Base: spec.Base, Merge: spec.Merge}, nil
}

// readCancel reads the ids of the tasks to cancel.
func (h *handler) readCancel(w http.ResponseWriter, r *http.Request) ([]cell.TaskID, *requestError) {
	var spec api.CancelSpec
	reqErr := h.decodeBody(w, r, h.opts.MaxCancelBodyBytes, func(body []byte) *requestError {
		// Ids have no commas. A list of very many short ones would take far more than the body.
		if bytes.Count(body, []byte{','}) >= maxCancelTasks {
			reqErr := badRequest([]api.Problem{{Field: "tasks", Message: fmt.Sprintf("has more than %d ids", maxCancelTasks)}})
			return &reqErr
		}
		return decodeJSON(body, &spec)
	})
	if reqErr != nil {
		return nil, reqErr
	}
	var p problems
	n := len(spec.Tasks)
	p.require(n >= 1 && n <= maxCancelTasks, "tasks", "has %d ids, must have 1 to %d", n, maxCancelTasks)
	for i, id := range spec.Tasks {
		if len(p) == maxProblems {
			break
		}
		if !validTaskID(string(id)) {
			p.add("tasks", "id %d %s", i, taskSyntax)
		}
	}
	if len(p) > 0 {
		reqErr := badRequest(p)
		return nil, &reqErr
	}
	return spec.Tasks, nil
}

// maxProblems bounds the invalid task ids that one answer lists.
const maxProblems = 100
