package edge

import (
	"net/http"
	"time"

	"laburnumpoint/internal/api"
	"laburnumpoint/internal/cell"
)

// Bounds of a task and a job.
const (
	maxJobCount     = 100_000
	maxCancelTasks  = 100_000
	maxEstimatedRun = 90 * 24 * time.Hour
	// maxAmount bounds each dimension of a claim, so that sums over a cell can't overflow.
	maxAmount = 1 << 40
)

// readRun reads the request for a task that the caller waits for.
func (h *handler) readRun(w http.ResponseWriter, r *http.Request) (RunRequest, string, *fault) {
	var spec api.TaskSpec
	if f := h.readJSON(w, r, h.opts.MaxBodyBytes, &spec); f != nil {
		return RunRequest{}, "", f
	}
	var p problems
	task := taskOf(spec, cell.KindRequest, "", &p)
	req := RunRequest{Task: task, Caller: r.Header.Get(api.HeaderCaller), Timeout: h.readTimeout(r, &p)}
	id := h.readIdentity(r, &req, &p)
	if len(p) > 0 {
		f := badRequest(p)
		return RunRequest{}, "", &f
	}
	return req, id, nil
}

// readIdentity sets the task's id and returns the request's id.
func (h *handler) readIdentity(r *http.Request, req *RunRequest, p *problems) string {
	if req.Caller != "" {
		p.check(validName(req.Caller), api.HeaderCaller, nameSyntax)
	}
	id := r.Header.Get(api.HeaderRequestID)
	if id == "" {
		p.check(req.Task.Idempotent, api.HeaderRequestID, "a non-idempotent request needs an id of the caller's own")
		id = h.opts.NewID()
		req.Task.ID = cell.TaskID(id)
		return id
	}
	p.check(validID(id), api.HeaderRequestID, idSyntax)
	p.check(req.Caller != "", api.HeaderCaller, "a request with an id of the caller's own must name its caller")
	first := r.Header.Get(api.HeaderFirstSend)
	p.check(first == "" || first == "true" || first == "false", api.HeaderFirstSend, "%q is neither true nor false", first)
	req.Resendable = true
	req.FirstSend = first == "true"
	req.Task.ID = api.RequestTaskID(req.Caller, id)
	return id
}

// readJob reads a job's submission.
func (h *handler) readJob(w http.ResponseWriter, r *http.Request) (Job, *fault) {
	var spec api.JobSpec
	if f := h.readJSON(w, r, h.opts.MaxBodyBytes, &spec); f != nil {
		return Job{}, f
	}
	var p problems
	job := h.jobOf(spec, &p)
	if len(p) > 0 {
		f := badRequest(p)
		return Job{}, &f
	}
	return job, nil
}

func (h *handler) jobOf(spec api.JobSpec, p *problems) Job {
	if spec.ID == "" {
		spec.ID = cell.JobID(h.opts.NewID())
	}
	p.check(validID(string(spec.ID)), "id", idSyntax)
	p.check(jobKind(spec.Kind), "kind", "%q is not service, batch or gang", spec.Kind)
	p.check(spec.Count >= 1 && spec.Count <= maxJobCount, "count", "%d is not between 1 and %d", spec.Count, maxJobCount)
	p.check(spec.Floor == 0, "floor", "is not kept by this version of the cell; leave it out")
	template := taskOf(spec.Task, spec.Kind, "task.", p)
	if spec.Kind == cell.KindGang {
		template.GangSize = spec.Count
	}
	return Job{ID: spec.ID, Kind: spec.Kind, Count: spec.Count, Template: template}
}

func jobKind(k cell.Kind) bool {
	return k == cell.KindService || k == cell.KindBatch || k == cell.KindGang
}

// taskOf returns the task that spec describes, without an id. Problems name fields under prefix.
func taskOf(spec api.TaskSpec, kind cell.Kind, prefix string, p *problems) cell.Task {
	if spec.Class == "" {
		spec.Class = ordinaryClass(kind)
	}
	if spec.Claim.Slots == 0 {
		spec.Claim.Slots = 1
	}
	run := time.Duration(spec.EstimatedRunMS) * time.Millisecond
	p.check(validName(spec.Team), prefix+"team", nameSyntax)
	p.check(spec.Class.Valid(), prefix+"class", "%q is not urgent, service, normal or batch", spec.Class)
	p.check(spec.Pool == "" || validName(spec.Pool), prefix+"pool", nameSyntax)
	p.check(spec.EstimatedRunMS >= 0 && spec.EstimatedRunMS <= maxEstimatedRun.Milliseconds(),
		prefix+"estimated_run_ms", "%d is not between 0 and %d", spec.EstimatedRunMS, maxEstimatedRun.Milliseconds())
	checkClaim(spec.Claim, prefix+"claim.", p)
	return cell.Task{
		Kind:         kind,
		Team:         spec.Team,
		Class:        spec.Class,
		Pool:         spec.Pool,
		Claim:        spec.Claim,
		Stoppable:    spec.Stoppable,
		Idempotent:   spec.Idempotent == nil || *spec.Idempotent,
		EstimatedRun: run,
		Payload:      payloadOf(spec, prefix, p),
	}
}

func ordinaryClass(kind cell.Kind) cell.Class {
	switch kind {
	case cell.KindService:
		return cell.ClassService
	case cell.KindBatch:
		return cell.ClassBatch
	default:
		return cell.ClassNormal
	}
}

func checkClaim(c cell.Resources, prefix string, p *problems) {
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
		p.check(a.value >= 0 && a.value <= maxAmount, prefix+a.name, "%d is not between 0 and %d", a.value, maxAmount)
	}
}

func payloadOf(spec api.TaskSpec, prefix string, p *problems) []byte {
	if spec.Payload == "" {
		return spec.PayloadBase64
	}
	p.check(len(spec.PayloadBase64) == 0, prefix+"payload", "payload and payload_base64 are both given")
	return []byte(spec.Payload)
}

// readPatch reads a patch of the configuration.
func (h *handler) readPatch(w http.ResponseWriter, r *http.Request) (Patch, *fault) {
	var spec api.PatchSpec
	if f := h.readJSON(w, r, h.opts.MaxBodyBytes, &spec); f != nil {
		return Patch{}, f
	}
	if spec.ID == "" {
		spec.ID = h.opts.NewID()
	}
	var p problems
	p.check(validID(spec.ID), "id", idSyntax)
	p.check(spec.Base >= 1, "base", "the version that the patch is made against is missing")
	p.check(len(spec.Merge) > 0 && spec.Merge[0] == '{', "merge", "must be a JSON object (RFC 7396)")
	if len(p) > 0 {
		f := badRequest(p)
		return Patch{}, &f
	}
	return Patch{ID: spec.ID, Base: spec.Base, Merge: spec.Merge}, nil
}

// readCancel reads the ids of the tasks to cancel.
func (h *handler) readCancel(w http.ResponseWriter, r *http.Request) ([]cell.TaskID, *fault) {
	var spec api.CancelSpec
	if f := h.readJSON(w, r, h.opts.MaxCancelBodyBytes, &spec); f != nil {
		return nil, f
	}
	var p problems
	n := len(spec.Tasks)
	p.check(n >= 1 && n <= maxCancelTasks, "tasks", "%d ids are not between 1 and %d", n, maxCancelTasks)
	for i, id := range spec.Tasks {
		if len(p) == maxProblems {
			break
		}
		if !validTaskID(string(id)) {
			p.add("tasks", "id %d %s", i, taskSyntax)
		}
	}
	if len(p) > 0 {
		f := badRequest(p)
		return nil, &f
	}
	return spec.Tasks, nil
}

// maxProblems bounds the mistakes that one answer lists.
const maxProblems = 100
