package httpplatform

import (
	"net/url"
	"strconv"

	"laburnumpoint/internal/cell"
)

// FormatAttempt returns the value of HeaderAttempt: epoch, number and the escaped task id, separated by dots.
func FormatAttempt(a cell.Attempt) string {
	epoch := strconv.FormatUint(uint64(a.Epoch), 10)
	n := strconv.FormatUint(uint64(a.Number), 10)
	return epoch + "." + n + "." + url.PathEscape(string(a.Task))
}
