package edge

import (
	"cmp"
	"io"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/google/uuid"
	"github.com/phuslu/log"

	"laburnumpoint/internal/inbound"
)

// Options sets the limits of the HTTP interface. A zero field takes its default.
type Options struct {
	// Log receives a line for each final outcome; nil disables it.
	Log *log.Logger
	// Metrics is the set in which the metrics are registered; nil means a new set.
	Metrics *metrics.Set
	// Limits bounds what the process holds of requests; nil means bounds of its own.
	Limits *inbound.Limits

	// The limits of concurrent requests: MaxRequests for requests that run a task, MaxCommands for job submissions and
	// patches, MaxQueries for queries, MaxWatches for queries of a job's status, which may wait, and MaxCancels for
	// cancellations. They are separate so that a flood of one kind doesn't cause another kind to be refused.
	MaxRequests int
	MaxCommands int
	MaxQueries  int
	MaxWatches  int
	MaxCancels  int

	// MaxBodyBytes bounds a request's body; MaxCancelBodyBytes bounds the body of a cancellation of tasks. Both are at most
	// Limits.MaxBody, so that a body that is let in finds room in calm.
	MaxBodyBytes       int64
	MaxCancelBodyBytes int64

	// BodyTimeout bounds the time to read one body, and WriteTimeout the time to write one answer.
	BodyTimeout  time.Duration
	WriteTimeout time.Duration

	// DefaultTimeout is a request's timeout if the caller sets none; MaxTimeout is the longest accepted one.
	DefaultTimeout time.Duration
	MaxTimeout     time.Duration
	// WatchInterval is the time between two queries of a watched job's status.
	WatchInterval time.Duration

	// NewID returns a unique id.
	NewID func() string
}

// The defaults of Options.
const (
	DefaultMaxRequests        = 2_048
	DefaultMaxCommands        = 256
	DefaultMaxQueries         = 256
	DefaultMaxWatches         = 1_024
	DefaultMaxCancels         = 32
	DefaultMaxBodyBytes       = 1 << 20
	DefaultMaxCancelBodyBytes = 16 << 20
	DefaultBodyTimeout        = 30 * time.Second
	DefaultWriteTimeout       = 30 * time.Second
	DefaultRequestTimeout     = 30 * time.Second
	DefaultMaxTimeout         = 10 * time.Minute
	DefaultWatchInterval      = 200 * time.Millisecond
)

func (o Options) withDefaults() Options {
	setDefault(&o.MaxRequests, DefaultMaxRequests)
	setDefault(&o.MaxCommands, DefaultMaxCommands)
	setDefault(&o.MaxQueries, DefaultMaxQueries)
	setDefault(&o.MaxWatches, DefaultMaxWatches)
	setDefault(&o.MaxCancels, DefaultMaxCancels)
	setDefault(&o.MaxBodyBytes, DefaultMaxBodyBytes)
	setDefault(&o.MaxCancelBodyBytes, DefaultMaxCancelBodyBytes)
	setDefault(&o.BodyTimeout, DefaultBodyTimeout)
	setDefault(&o.WriteTimeout, DefaultWriteTimeout)
	setDefault(&o.DefaultTimeout, DefaultRequestTimeout)
	setDefault(&o.MaxTimeout, DefaultMaxTimeout)
	setDefault(&o.WatchInterval, DefaultWatchInterval)
	if o.Metrics == nil {
		o.Metrics = metrics.NewSet()
	}
	if o.Limits == nil {
		o.Limits = inbound.New(inbound.Options{MaxHeaderBytes: DefaultMaxHeaderBytes}, cmp.Or(o.Log, silent), o.Metrics)
	}
	o.MaxBodyBytes = min(o.MaxBodyBytes, o.Limits.MaxBody())
	o.MaxCancelBodyBytes = min(o.MaxCancelBodyBytes, o.Limits.MaxBody())
	if o.NewID == nil {
		o.NewID = uuid.NewString
	}
	return o
}

// silent writes nothing.
var silent = &log.Logger{Writer: &log.IOWriter{Writer: io.Discard}}

func setDefault[T int | int64 | time.Duration](field *T, value T) {
	if *field == 0 {
		*field = value
	}
}
