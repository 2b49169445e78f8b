// Package settings reads and checks the settings of laburnumpointd: command-line flags and, for each flag, an environment
// variable.
package settings

import (
	"net/netip"
	"time"

	"github.com/phuslu/log"

	"laburnumpoint/internal/config"
)

// Settings are the checked settings of one daemon.
type Settings struct {
	// Listen is where callers, operators and the balancer reach the daemon.
	Listen netip.AddrPort
	// PeerListen is where other daemons reach this one.
	PeerListen netip.AddrPort
	// Zone is the availability zone of the daemon's VM.
	Zone string
	// Platform is where the table service, the object store and the VM list are.
	Platform netip.AddrPort
	LogLevel log.Level
	// Bootstrap becomes version 1 of the configuration if the cell has none; nil leaves that to others.
	Bootstrap *config.Document

	// DrainDelay is how long the daemon serves after it turned unready.
	DrainDelay time.Duration
	// StopTimeout bounds a planned stop as a whole.
	StopTimeout time.Duration

	LeaseTTL      time.Duration
	ClaimInterval time.Duration

	// MaxRequests bounds the requests that run at once.
	MaxRequests int
	// MaxBodyBytes bounds the body of any request but a cancellation.
	MaxBodyBytes int64
	// RequestTimeout is a request's timeout if its caller gives none; MaxRequestTimeout is the longest one accepted.
	RequestTimeout    time.Duration
	MaxRequestTimeout time.Duration
}

// minClaimsPerLease is how many claims must fit into a lease, so that one lost claim doesn't end it.
const minClaimsPerLease = 3

// checkCombinations returns the mistakes that no single setting shows.
func (s Settings) checkCombinations() []Problem {
	var problems []Problem
	if s.Listen == s.PeerListen && s.Listen.IsValid() && s.Listen.Port() != 0 {
		problems = append(problems, Problem{flagPeerListen, "is the same as --" + flagListen})
	}
	if s.LeaseTTL < minClaimsPerLease*s.ClaimInterval {
		problems = append(problems, Problem{flagLeaseTTL, "is less than three times --" + flagClaimInterval})
	}
	if s.StopTimeout <= s.DrainDelay {
		problems = append(problems, Problem{flagStopTimeout, "is not longer than --" + flagDrainDelay})
	}
	if s.RequestTimeout > s.MaxRequestTimeout {
		problems = append(problems, Problem{flagRequestTimeout, "is longer than --" + flagMaxRequestTimeout})
	}
	return problems
}
