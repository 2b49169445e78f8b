package node

import (
	"context"
	"time"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/config"
)

// Timing of the wait for a confirmed configuration. The configuration is unconfirmed from the moment when a node learns
// of a new version until it has fetched it.
const (
	confirmWait     = time.Second
	confirmInterval = 5 * time.Millisecond
)

// usableConfig returns the configuration in force, or the reason why no decision may be based on it. It waits up to
// confirmWait for the version to be confirmed.
func (n *Node) usableConfig(ctx context.Context) (config.Document, cell.Reason) {
	doc, reason := readConfig(n.configs.Current)
	if reason.Code == cell.ReasonNone {
		return doc, reason
	}
	ctx, cancel := context.WithTimeout(ctx, confirmWait)
	defer cancel()
	pollUntil(ctx, confirmInterval, func() bool {
		doc, reason = readConfig(n.configs.Current)
		return reason.Code == cell.ReasonNone
	})
	return doc, reason
}

func readConfig(current func() (config.Versioned, bool)) (config.Document, cell.Reason) {
	v, fresh := current()
	switch {
	case v.Version == 0:
		return v.Document, cell.Reason{Code: cell.ReasonConfigStale, Detail: "no configuration is known yet"}
	case !fresh:
		return v.Document, cell.Reason{Code: cell.ReasonConfigStale, Detail: "the configuration in force can't be confirmed"}
	default:
		return v.Document, cell.Reason{}
	}
}
