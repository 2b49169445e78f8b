package history

import "laburnumpoint/internal/cell"

// Answer is what a simulated task answers, as JSON. It tells whose answer it is.
type Answer struct {
	Attempt cell.Attempt  `json:"attempt"`
	Worker  cell.WorkerID `json:"worker"`
	// Echo repeats the request's text.
	Echo string `json:"echo,omitempty"`
	// Pad is as long as the request asked for.
	Pad string `json:"pad,omitempty"`
}
