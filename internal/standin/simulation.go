package standin

import (
	"encoding/json"
	"strings"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/history"
)

// defaultRunTime is how long a task runs whose payload says nothing else.
const defaultRunTime = 10 * time.Millisecond

// Payload tells a simulated task what to do. It is a task's payload as JSON.
type Payload struct {
	// RunMS is the run time in milliseconds. A service with 0 runs until it is stopped.
	RunMS int64 `json:"run_ms,omitempty"`
	// Fail makes the task report failure at its end.
	Fail bool `json:"fail,omitempty"`
	// AnswerBytes is the number of padding bytes in the answer.
	AnswerBytes int `json:"answer_bytes,omitempty"`
	// Echo is repeated in the answer.
	Echo string `json:"echo,omitempty"`
}

// Answer is a simulated task's answer, as JSON.
type Answer = history.Answer

// Encode returns p as a task's payload.
func (p Payload) Encode() []byte {
	data, err := json.Marshal(p)
	if err != nil {
		panic(err) // every field of Payload can be encoded
	}
	return data
}

// parsePayload reads a task's payload. A payload that is no JSON object runs for the default time and is echoed.
func parsePayload(data []byte) Payload {
	var p Payload
	if err := json.Unmarshal(data, &p); err != nil {
		return Payload{Echo: string(data)}
	}
	return p
}

// runTime returns how long the task runs; false if it runs until it is stopped.
func (p Payload) runTime(kind cell.TaskKind) (time.Duration, bool) {
	if p.RunMS > 0 {
		return time.Duration(p.RunMS) * time.Millisecond, true
	}
	return defaultRunTime, kind != cell.KindService
}

func (p Payload) answer(a cell.Attempt, w cell.WorkerID) []byte {
	answer := Answer{Attempt: a, Worker: w, Echo: p.Echo, Pad: strings.Repeat("x", max(0, p.AnswerBytes))}
	data, err := json.Marshal(answer)
	if err != nil {
		panic(err) // every field of Answer can be encoded
	}
	return data
}
