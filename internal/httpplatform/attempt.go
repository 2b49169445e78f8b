package httpplatform

import (
	"net/url"
	"strconv"

	"laburnumpoint/internal/cell"
)

// FormatAttempt returns the value of HeaderAttempt for a: epoch, attempt number and escaped task id, separated by dots.
func FormatAttempt(a cell.Attempt) string {
	epoch := strconv.FormatUint(uint64(a.Epoch), 10)
	number := strconv.FormatUint(uint64(a.Number), 10)
	return epoch + "." + number + "." + url.PathEscape(string(a.Task))
}
