package history

import "laburnumpoint/internal/cell"

// Answer is the JSON answer of a simulated task. It names the attempt and the worker that produced it.
type Answer struct {
	Attempt cell.Attempt  `json:"attempt"`
	Worker  cell.WorkerID `json:"worker"`
	// Echo is the text that the request asked to be repeated.
	Echo string `json:"echo,omitempty"`
	// Pad is filler of the length that the request asked for.
	Pad string `json:"pad,omitempty"`
}
