package entry

import (
	"context"
	"encoding/json"
	"time"

	"laburnumpoint/internal/dispatch"
	"laburnumpoint/internal/graph"
	"laburnumpoint/internal/wire"
)

// commandPreview asks the owner where the tasks of a job would go now.
const commandPreview = "preview"

// labelPreview is the name of the query in logs and metrics.
const labelPreview = "explain"

// PreviewOutcome is the owner's answer to the question where a job's tasks would go. One of its fields is set.
type PreviewOutcome struct {
	Preview *dispatch.Preview `json:"preview,omitempty"`
	// RetryAfter means that the owner has answered others lately.
	RetryAfter time.Duration `json:"retry_after,omitempty"`
	// Refusal says why the job is too large for a preview.
	Refusal string `json:"refusal,omitempty"`
}

// previewQuestion is what a daemon relays to the owner.
type previewQuestion struct {
	Queue        graph.Queue `json:"queue"`
	Organisation string      `json:"organisation,omitempty"`
	Spec         *graph.Spec `json:"spec"`
}

// Preview says where the tasks of a job would go now, as the owner would decide. Nothing is stored. preview is nil unless the result is OK.
func (s *Service) Preview(ctx context.Context, req Request, decode func() (*graph.Spec, error)) (answer Answer, preview *dispatch.Preview) {
	defer s.observeDuration(labelPreview, s.Clock.Now())
	admitted, refusal := s.admit(req)
	if refusal != nil {
		return s.recordAnswer(labelPreview, admitted, *refusal), nil
	}
	decodeStart := s.Clock.Now()
	spec, refusal := decodeValid(decode)
	if refusal == nil && s.Clock.Now().Sub(decodeStart) > maxAdmissionAge {
		admitted, refusal = s.admit(req)
	}
	if refusal != nil {
		return s.recordAnswer(labelPreview, admitted, *refusal), nil
	}
	outcome, ok := s.askForPreview(ctx, previewQuestion{Queue: admitted.route.Queue, Organisation: admitted.organisation, Spec: spec})
	switch {
	case !ok:
		answer = Answer{Result: Unavailable, RetryAfter: notReadyRetryAfter, Detail: "no owner answered"}
	case outcome.RetryAfter > 0:
		answer = Answer{Result: Unavailable, RetryAfter: outcome.RetryAfter, Detail: "the owner answers such a question for others; they are limited so that they do not slow it"}
	case outcome.Refusal != "":
		answer = Answer{Result: Invalid, Detail: outcome.Refusal}
	default:
		answer = Answer{Result: OK}
	}
	return s.recordAnswer(labelPreview, admitted, answer), outcome.Preview
}

// askForPreview asks this daemon if it is the owner, or else the owner.
func (s *Service) askForPreview(ctx context.Context, question previewQuestion) (PreviewOutcome, bool) {
	if outcome, owns := s.PreviewIfOwner(ctx, question.Queue, question.Organisation, question.Spec); owns {
		return outcome, true
	}
	record, err := json.Marshal(question)
	if err != nil {
		return PreviewOutcome{}, false
	}
	reply := s.relay(ctx, &wire.IntakeRequest{Command: commandPreview, Record: record})
	var outcome PreviewOutcome
	if reply.GetResult() != resultOK || len(reply.GetDetail()) != 1 || json.Unmarshal([]byte(reply.GetDetail()[0]), &outcome) != nil {
		return PreviewOutcome{}, false
	}
	return outcome, true
}

// previewRelayed answers another daemon's question for a preview.
func (s *Service) previewRelayed(ctx context.Context, req *wire.IntakeRequest) *wire.IntakeReply {
	unavailable := &wire.IntakeReply{Result: resultUnavailable}
	var question previewQuestion
	if err := decodeRelayed(req.Record, &question); err != nil || question.Spec == nil || question.Spec.Validate() != nil {
		return unavailable
	}
	outcome, owns := s.PreviewIfOwner(ctx, question.Queue, question.Organisation, question.Spec)
	if !owns {
		return unavailable
	}
	data, err := json.Marshal(outcome)
	if err != nil {
		return unavailable
	}
	return &wire.IntakeReply{Result: resultOK, Detail: []string{string(data)}}
}
