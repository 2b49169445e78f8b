package httpserver

import (
	"errors"
	"net/http"
	"strconv"

	"github.com/go-chi/chi/v5"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/httpplatform"
	"laburnumpoint/internal/platformapi"
	"laburnumpoint/internal/standin"
)

// runnerAPI is the HTTP interface of one worker's runner.
type runnerAPI struct {
	fleet  *standin.Fleet
	worker cell.Worker
}

func (a *runnerAPI) handler() http.Handler {
	r := chi.NewRouter()
	r.Use(refuseOverLimit)
	r.Post(httpplatform.PathClaim, a.claim)
	r.Post(httpplatform.PathStart, a.start)
	r.Post(httpplatform.PathAwait, a.await)
	r.Post(httpplatform.PathStop, a.stop)
	return r
}

func (a *runnerAPI) runnerClient(r *http.Request) platformapi.RunnerClient {
	return a.fleet.RunnerFor(callingMember(r))
}

// callingMember returns the member that sent the request; empty if the request doesn't name one.
func callingMember(r *http.Request) cell.MemberID {
	return cell.MemberID(r.Header.Get(httpplatform.HeaderMember))
}

func (a *runnerAPI) claim(w http.ResponseWriter, r *http.Request) {
	var c httpplatform.ClaimRequest
	if !readJSON(w, r, &c) {
		return
	}
	report, err := a.fleet.ClaimSince(r.Context(), callingMember(r), a.worker.ID, c.WorkerClaim, c.Since)
	writeControlReply(w, newClaimReply(report), err)
}

func newClaimReply(r standin.ClaimReport) httpplatform.ClaimReply {
	reply := httpplatform.ClaimReply{
		Worker:    r.Report.Worker,
		Epoch:     r.Report.Epoch,
		BootID:    r.Report.BootID,
		Claimed:   r.Report.Claimed,
		Leaving:   r.Report.Leaving,
		Used:      r.Report.Usage.Used,
		Revision:  r.Revision,
		Full:      r.Full,
		Retention: r.Retention,
	}
	for _, l := range r.Changed {
		changed := httpplatform.ChangedLease{Attempt: l.Attempt, Phase: l.Phase, Elapsed: l.Elapsed, EndedAgo: l.EndedAgo}
		if l.Phase == cell.LeaseRunning {
			changed.Task = &l.Task
		}
		reply.Changed = append(reply.Changed, changed)
	}
	return reply
}

func (a *runnerAPI) stop(w http.ResponseWriter, r *http.Request) {
	var s httpplatform.StopRequest
	if !readJSON(w, r, &s) {
		return
	}
	lease, err := a.runnerClient(r).Stop(r.Context(), a.worker, s.Attempt, s.Epoch, s.Mode)
	writeControlReply(w, lease, err)
}

func (a *runnerAPI) start(w http.ResponseWriter, r *http.Request) {
	var s httpplatform.StartRequest
	if !readJSON(w, r, &s) {
		return
	}
	reply := a.runnerClient(r).Start(r.Context(), a.worker, s.BootID, s.Attempt, s.Task, s.TTL)
	a.writeStartReply(w, s.Attempt, reply)
}

func (a *runnerAPI) await(w http.ResponseWriter, r *http.Request) {
	var req httpplatform.AwaitRequest
	if !readJSON(w, r, &req) {
		return
	}
	reply := a.runnerClient(r).Await(r.Context(), a.worker, req.Attempt)
	a.writeStartReply(w, req.Attempt, reply)
}

func writeControlReply(w http.ResponseWriter, v any, err error) {
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, v)
	case errors.Is(err, platformapi.ErrFenced):
		writeError(w, http.StatusConflict, httpplatform.CodeFenced, "epoch superseded")
	default:
		abortConnection()
	}
}

func (a *runnerAPI) writeStartReply(w http.ResponseWriter, attempt cell.Attempt, reply platformapi.StartReply) {
	result, ok := startResults[reply.Result]
	if !ok {
		if a.fleet.Faults(a.worker.ID).TruncateAnswers {
			writeTruncatedAnswer(w, attempt)
		}
		abortConnection()
	}
	w.Header().Set(httpplatform.HeaderResult, result)
	w.Header().Set(httpplatform.HeaderAttempt, httpplatform.FormatAttempt(attempt))
	w.Header().Set(httpplatform.HeaderFailed, strconv.FormatBool(reply.Failed))
	w.Header().Set(httpplatform.HeaderDetail, reply.Detail)
	writeBody(w, http.StatusOK, "application/octet-stream", reply.Answer)
}

// startResults maps the results that a runner answers with to the header's values. After any other result the
// connection is closed without a complete answer.
var startResults = map[platformapi.StartResult]string{
	platformapi.StartFinished: httpplatform.ResultFinished,
	platformapi.StartAccepted: httpplatform.ResultAccepted,
	platformapi.StartRefused:  httpplatform.ResultRefused,
	platformapi.StartFenced:   httpplatform.ResultFenced,
}

// writeTruncatedAnswer writes only the first bytes of an answer of declaredLength bytes.
func writeTruncatedAnswer(w http.ResponseWriter, attempt cell.Attempt) {
	const declaredLength = 100
	w.Header().Set("Content-Length", strconv.Itoa(declaredLength))
	w.Header().Set(httpplatform.HeaderResult, httpplatform.ResultFinished)
	w.Header().Set(httpplatform.HeaderAttempt, httpplatform.FormatAttempt(attempt))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write([]byte(`{"attempt":{`))
	_ = http.NewResponseController(w).Flush()
}
