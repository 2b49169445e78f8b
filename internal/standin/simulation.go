package standin

import (
	"encoding/json"
	"strings"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/history"
)

// defaultRunTime is the run time of a task whose payload doesn't set one.
const defaultRunTime = 10 * time.Millisecond

// Payload tells a simulated task what to do. It is a task's payload as JSON.
type Payload struct {
	// RunMS is the run time in milliseconds. With 0, a service runs until it is stopped and other tasks run for the
	// default time.
	RunMS int64 `json:"run_ms,omitempty"`
	// Fail makes the task fail at its end.
	Fail bool `json:"fail,omitempty"`
	// AnswerBytes is the number of padding bytes that the answer contains.
	AnswerBytes int `json:"answer_bytes,omitempty"`
	// Echo is repeated in the answer.
	Echo string `json:"echo,omitempty"`
}

// Answer is a simulated task's answer. It is sent as JSON.
type Answer = history.Answer

// Encode returns p as a task's payload.
func (p Payload) Encode() []byte {
	data, err := json.Marshal(p)
	if err != nil {
		panic(err) // can't happen: every value of Payload can be encoded
	}
	return data
}

// parsePayload decodes a task's payload. A task whose payload can't be decoded runs for the default time and echoes the
// payload.
func parsePayload(data []byte) Payload {
	var p Payload
	if err := json.Unmarshal(data, &p); err != nil {
		return Payload{Echo: string(data)}
	}
	return p
}

// runTime returns how long the task runs. It returns false if the task runs until it is stopped.
func (p Payload) runTime(kind cell.TaskKind) (time.Duration, bool) {
	if p.RunMS > 0 {
		return time.Duration(p.RunMS) * time.Millisecond, true
	}
	return defaultRunTime, kind != cell.KindService
}

func (p Payload) answer(a cell.Attempt, worker cell.WorkerID) []byte {
	answer := Answer{Attempt: a, Worker: worker, Echo: p.Echo, Pad: strings.Repeat("x", max(0, p.AnswerBytes))}
	data, err := json.Marshal(answer)
	if err != nil {
		panic(err) // can't happen: every value of Answer can be encoded
	}
	return data
}
