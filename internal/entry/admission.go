package entry

import (
	"context"
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"laburnumpoint/internal/access"
	"laburnumpoint/internal/monotime"
)

// Request says what a caller's call is about and with which key it comes.
type Request struct {
	Host, Path string
	Key        access.Key
}

// admission is what is known of a request before its command or query is carried out.
type admission struct {
	route *Route
	// rest is the request's path after the route's prefix: a job's id or nothing. It is empty if the route isn't known.
	rest string
	// organisation is the one that the request's key belongs to; empty if there is none.
	organisation string
	// timeLeft is the time within which the request must be answered, for the sake of its key; 0 if there is no such bound.
	timeLeft time.Duration
}

// bound returns a context that ends when the request must be answered.
func (a admission) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	if a.timeLeft <= 0 {
		return ctx, func() {}
	}
	return context.WithTimeout(ctx, a.timeLeft)
}

// admit returns the route of a request and the organisation of its key. If there is no such route or the key doesn't let the
// request through, it returns the answer for the caller instead. In a cell with keys an unknown key is answered before an
// unknown queue.
func (s *Service) admit(req Request) (admission, *Answer) {
	// The time is read before the configuration, which is then at least as new as the one that was confirmed at that time.
	confirmedAt := monotime.Instant(s.configCurrentAt.Load())
	config := s.config.Load()
	if config == nil {
		return admission{}, &Answer{Result: Unavailable, RetryAfter: notReadyRetryAfter, Detail: "no configuration is known yet"}
	}
	route, rest, found := config.Match(req.Host, req.Path)
	configAge := s.Clock.Now().Sub(confirmedAt)
	decision := s.accessRules().Decide(access.Call{Key: req.Key, Public: found && route.Public, Keys: &config.Keys, ConfigAge: configAge})
	admitted := admission{route: route, rest: rest, organisation: decision.Organisation, timeLeft: decision.TimeLeft}
	switch decision.Result {
	case access.UnknownKey:
		return admitted, &Answer{Result: Unauthorized, Detail: "the key is unknown or missing"}
	case access.Undecided:
		return admitted, &Answer{Result: Unavailable, RetryAfter: s.undecidedRetryAfter(), Detail: "key not checked, since the configuration of this daemon may be outdated"}
	}
	if found {
		return admitted, nil
	}
	if configAge > s.MaxConfigAge {
		return admitted, &Answer{Result: Unavailable, RetryAfter: notReadyRetryAfter, Detail: "no such queue in this daemon's configuration, which may be outdated"}
	}
	return admitted, &Answer{Result: NoQueue}
}

// recheckKey returns the answer for the caller if the request's key doesn't let it through any more.
func (s *Service) recheckKey(req Request) *Answer {
	if !s.RequireKeys {
		return nil
	}
	_, refusal := s.admit(req)
	return refusal
}

func (s *Service) accessRules() access.Rules {
	return access.Rules{RequireKeys: s.RequireKeys, MaxKeyUse: s.MaxKeyUse, MaxConfigAge: s.MaxConfigAge}
}

// undecidedRetryAfter returns the Retry-After of a request whose key can't be checked. While the store doesn't answer, other
// daemons are likely to be cut off from it too, and the end of the outage is waited for.
func (s *Service) undecidedRetryAfter() time.Duration {
	if s.StoreDown() {
		return retryAfter(s.StoreAge(), timesOfCommand, rand.Float64())
	}
	return notReadyRetryAfter
}

const (
	// maxCountedOrganisations bounds the organisations that have a counter of their own, since each counter of each daemon is a
	// time series that the collector keeps.
	maxCountedOrganisations = 32
	// otherOrganisations is the label of all further organisations.
	otherOrganisations = "other"
	// organisationAnswersMetric counts answers by organisation.
	organisationAnswersMetric = "laburnumpoint_organisation_answers_total"
)

// organisationCounters counts the answers of up to maxCountedOrganisations organisations, and those of the rest together. It
// is safe for concurrent use.
type organisationCounters struct {
	set   *metrics.Set
	other *metrics.Counter

	mu     sync.Mutex
	byName map[string]*metrics.Counter
}

func newOrganisationCounters(set *metrics.Set) *organisationCounters {
	return &organisationCounters{
		set: set, other: set.GetOrCreateCounter(organisationSeries(otherOrganisations)), byName: make(map[string]*metrics.Counter),
	}
}

// labelEscaper escapes a label's value as the text format of metrics requires.
var labelEscaper = strings.NewReplacer(`\`, `\\`, `"`, `\"`, "\n", `\n`)

func organisationSeries(name string) string {
	return organisationAnswersMetric + `{organisation="` + labelEscaper.Replace(name) + `"}`
}

// count counts an answer of the named organisation, none if the name is empty.
func (c *organisationCounters) count(name string) {
	if name == "" {
		return
	}
	c.counter(name).Inc()
}

func (c *organisationCounters) counter(name string) *metrics.Counter {
	c.mu.Lock()
	defer c.mu.Unlock()
	if counter, ok := c.byName[name]; ok {
		return counter
	}
	if len(c.byName) >= maxCountedOrganisations {
		return c.other
	}
	counter := c.set.GetOrCreateCounter(organisationSeries(name))
	c.byName[name] = counter
	return counter
}
