package cli

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"laburnumpoint/internal/cell"
	"laburnumpoint/internal/client"
	"laburnumpoint/internal/history"
	"laburnumpoint/internal/load"
)

// Names of the load command's flags.
const (
	flagRate               = "rate"
	flagDuration           = "duration"
	flagSeed               = "seed"
	flagMix                = "mix"
	flagRunMin             = "run-min"
	flagRunMax             = "run-max"
	flagNonIdempotentShare = "non-idempotent-share"
	flagKeyedShare         = "keyed-share"
	flagAnswerBytes        = "answer-bytes"
	flagMaxInFlight        = "max-in-flight"
	flagRecord             = "record"
	flagMixStoppable       = "stoppable"
)

const (
	defaultRate        = 50
	defaultDuration    = 10 * time.Second
	defaultRunMin      = 5 * time.Millisecond
	defaultRunMax      = 50 * time.Millisecond
	defaultMaxInFlight = 1_000
	recordFileMode     = 0o644
)

// loadCommand returns the command that sends a bounded and repeatable load.
func (a *app) loadCommand() *cli.Command {
	return &cli.Command{
		Name:  "load",
		Usage: "send requests for the stand-in's simulated tasks and summarise the answers",
		Flags: []cli.Flag{
			&cli.Float64Flag{Name: flagRate, Usage: "mean `NUMBER` of calls a second", Value: defaultRate},
			&cli.DurationFlag{Name: flagDuration, Usage: "`TIME` over which calls are sent", Value: defaultDuration},
			&cli.Uint64Flag{Name: flagSeed, Usage: "`NUMBER` that determines the calls; the same number repeats them", Value: 1},
			&cli.StringSliceFlag{Name: flagMix, Usage: "`CLASS:TEAM[:POOL]=WEIGHT` of one kind of request; may be repeated", Value: []string{"normal:default=1"}},
			&cli.Int64Flag{Name: flagMilliCPU, Usage: "processors in `THOUSANDTHS` of a core", Value: defaultMilliCPU},
			&cli.Int64Flag{Name: flagMemoryMiB, Usage: "memory in `MIB`", Value: defaultMemoryMiB},
			&cli.DurationFlag{Name: flagRunMin, Usage: "shortest run `TIME`", Value: defaultRunMin},
			&cli.DurationFlag{Name: flagRunMax, Usage: "longest run `TIME`", Value: defaultRunMax},
			&cli.Float64Flag{Name: flagNonIdempotentShare, Usage: "`SHARE` of non-idempotent requests, 0 to 1"},
			&cli.Float64Flag{Name: flagKeyedShare, Usage: "`SHARE` of requests with an id that the caller chose, 0 to 1", Value: 1},
			&cli.IntFlag{Name: flagAnswerBytes, Usage: "`BYTES` of padding in each answer"},
			&cli.BoolFlag{Name: flagMixStoppable, Usage: "all but urgent requests may be stopped for more urgent work"},
			&cli.DurationFlag{Name: flagTimeout, Usage: "`TIME` to wait for each answer", Value: defaultTimeout},
			&cli.IntFlag{Name: flagMaxInFlight, Usage: "`NUMBER` of calls that may wait at once", Value: defaultMaxInFlight},
			&cli.StringFlag{Name: flagRecord, Usage: "`FILE` to append every call and return to, as JSON lines"},
		},
		Action: a.load,
	}
}

func (a *app) load(ctx context.Context, cmd *cli.Command) error {
	plan, err := readLoadPlan(cmd)
	if err != nil {
		return err
	}
	c, err := newClient(cmd)
	if err != nil {
		return err
	}
	recorder, closeRecorder, err := openRecorder(cmd.String(flagRecord))
	if err != nil {
		return err
	}
	defer closeRecorder()
	report := load.Run(ctx, plan, load.Options{
		Client:      c,
		Caller:      cmd.String(flagCaller),
		KeyPrefix:   client.NewID(),
		MaxInFlight: cmd.Int(flagMaxInFlight),
		Recorder:    recorder,
	})
	if err := a.printLoadReport(cmd, report); err != nil {
		return err
	}
	if recorder != nil && recorder.Err() != nil {
		return recorder.Err()
	}
	return loadReportError(report)
}

// readLoadPlan returns the plan that the flags describe and checks it.
func readLoadPlan(cmd *cli.Command) (load.Plan, error) {
	mix, err := parseMix(cmd.StringSlice(flagMix))
	if err != nil {
		return load.Plan{}, err
	}
	if cmd.Int(flagMaxInFlight) < 1 {
		return load.Plan{}, fmt.Errorf("--%s: %d is not positive", flagMaxInFlight, cmd.Int(flagMaxInFlight))
	}
	plan := load.Plan{
		Seed:               cmd.Uint64(flagSeed),
		Rate:               cmd.Float64(flagRate),
		Duration:           cmd.Duration(flagDuration),
		Mix:                mix,
		Claim:              cell.Resources{MilliCPU: cmd.Int64(flagMilliCPU), MemoryMiB: cmd.Int64(flagMemoryMiB), Slots: 1},
		RunMin:             cmd.Duration(flagRunMin),
		RunMax:             cmd.Duration(flagRunMax),
		NonIdempotentShare: cmd.Float64(flagNonIdempotentShare),
		RequestIDShare:     cmd.Float64(flagKeyedShare),
		AnswerBytes:        cmd.Int(flagAnswerBytes),
		Stoppable:          cmd.Bool(flagMixStoppable),
		Timeout:            cmd.Duration(flagTimeout),
	}
	return plan, errors.Join(noArgs(cmd), plan.Validate())
}

// parseMix parses the entries of a mix, each of the form CLASS:TEAM[:POOL]=WEIGHT.
func parseMix(texts []string) ([]load.MixEntry, error) {
	var mix []load.MixEntry
	for _, text := range texts {
		names, weight, _ := strings.Cut(text, "=")
		parts := strings.Split(names, ":")
		value, err := strconv.ParseFloat(weight, 64)
		if err != nil || value <= 0 || len(parts) < 2 || len(parts) > 3 {
			return nil, fmt.Errorf("--%s: %q is not CLASS:TEAM[:POOL]=WEIGHT", flagMix, text)
		}
		entry := load.MixEntry{Class: cell.PriorityClass(parts[0]), Team: parts[1], Weight: value}
		if len(parts) == 3 {
			entry.Pool = parts[2]
		}
		if !entry.Class.Valid() {
			return nil, fmt.Errorf("--%s: class %q is not urgent, service, normal or batch", flagMix, entry.Class)
		}
		mix = append(mix, entry)
	}
	return mix, nil
}

// openRecorder returns a recorder that appends to the file at path, or nil if path is empty.
func openRecorder(path string) (recorder *history.Recorder, closeRecorder func(), err error) {
	if path == "" {
		return nil, func() {}, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, recordFileMode)
	if err != nil {
		return nil, nil, err
	}
	return history.NewRecorderTo(file), func() { _ = file.Close() }, nil // the recorder has written each entry at once
}

// printLoadReport prints the results and their reasons, examples of calls that did not complete, and the times by class.
func (a *app) printLoadReport(cmd *cli.Command, r load.Report) error {
	if cmd.Bool(flagJSON) {
		return a.printJSON(newLoadSummary(r))
	}
	var t table
	t.add("RESULT", "CALLS")
	for _, result := range slices.Sorted(maps.Keys(r.Results)) {
		t.add(result, r.Results[result])
	}
	for _, code := range slices.Sorted(maps.Keys(r.Reasons)) {
		t.add("  of these "+string(code), r.Reasons[code])
	}
	t.add("held back", r.Skipped)
	t.add("sent again", r.Resent)
	t.add("wrong answers", r.WrongAnswers)
	if err := a.print(cmd, nil, t); err != nil {
		return err
	}
	for _, o := range r.Examples {
		fmt.Fprintf(a.streams.Out, "for example %s after %d sendings: %s: %s\n", o.ID, o.Tries, o.Result, o.Reason)
	}
	return a.print(cmd, nil, classTable(r))
}

// classTable returns the table of each class's waiting and answer times.
func classTable(r load.Report) table {
	var t table
	t.add("CLASS", "RAN", "WAITED P50", "P99", "MAX", "ANSWERED P50", "P99", "MAX")
	for _, class := range classesByRank(r) {
		c := r.Classes[class]
		waitTimes, responseTimes := load.SummarizeDurations(c.WaitTimes), load.SummarizeDurations(c.ResponseTimes)
		t.add(class, waitTimes.Count, formatMS(waitTimes.P50), formatMS(waitTimes.P99), formatMS(waitTimes.Max), formatMS(responseTimes.P50), formatMS(responseTimes.P99), formatMS(responseTimes.Max))
	}
	return t
}

// classesByRank returns the classes of r in the order of their ranks.
func classesByRank(r load.Report) []cell.PriorityClass {
	return slices.SortedFunc(maps.Keys(r.Classes), func(a, b cell.PriorityClass) int { return a.Rank() - b.Rank() })
}

func formatMS(d time.Duration) string {
	return fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond))
}

// loadReportError returns an error with the exit code for r, or nil if every call was sent and completed with its own answer.
func loadReportError(r load.Report) error {
	switch {
	case r.WrongAnswers > 0:
		return &exitError{code: ExitFailed, message: fmt.Sprintf("calls completed with a wrong answer: %d", r.WrongAnswers)}
	case r.Results[cell.ResultUnknown] > 0:
		return &exitError{code: ExitUnknown, message: fmt.Sprintf("calls with an unknown outcome: %d", r.Results[cell.ResultUnknown])}
	case r.Results[cell.ResultNotRun] > 0 || r.Skipped > 0:
		return &exitError{code: ExitNotRun, message: fmt.Sprintf("requests not run: %d, calls not sent: %d", r.Results[cell.ResultNotRun], r.Skipped)}
	case r.Results[cell.ResultFailed] > 0:
		return &exitError{code: ExitFailed, message: fmt.Sprintf("failed tasks: %d", r.Results[cell.ResultFailed])}
	default:
		return nil
	}
}

// loadSummary is the JSON form of a load report.
type loadSummary struct {
	ElapsedMS    float64                             `json:"elapsed_ms"`
	Skipped      int                                 `json:"held_back"`
	Resent       int                                 `json:"resent"`
	WrongAnswers int                                 `json:"wrong_answers"`
	Results      map[cell.Result]int                 `json:"results"`
	Reasons      map[cell.ReasonCode]int             `json:"reasons"`
	Classes      map[cell.PriorityClass]classSummary `json:"classes"`
}

// classSummary is the JSON form of one class's waiting and answer times.
type classSummary struct {
	WaitTimes     durationSummary `json:"waited"`
	ResponseTimes durationSummary `json:"answered"`
}

// durationSummary is the JSON form of a distribution of times.
type durationSummary struct {
	Count int     `json:"count"`
	P50MS float64 `json:"p50_ms"`
	P99MS float64 `json:"p99_ms"`
	MaxMS float64 `json:"max_ms"`
}

// newLoadSummary returns the JSON form of r.
func newLoadSummary(r load.Report) loadSummary {
	out := loadSummary{
		ElapsedMS:    milliseconds(r.Elapsed),
		Skipped:      r.Skipped,
		Resent:       r.Resent,
		WrongAnswers: r.WrongAnswers,
		Results:      r.Results,
		Reasons:      r.Reasons,
		Classes:      make(map[cell.PriorityClass]classSummary),
	}
	for class, c := range r.Classes {
		out.Classes[class] = classSummary{WaitTimes: newDurationSummary(c.WaitTimes), ResponseTimes: newDurationSummary(c.ResponseTimes)}
	}
	return out
}

// newDurationSummary returns the distribution of times in its JSON form.
func newDurationSummary(times []time.Duration) durationSummary {
	s := load.SummarizeDurations(times)
	return durationSummary{Count: s.Count, P50MS: milliseconds(s.P50), P99MS: milliseconds(s.P99), MaxMS: milliseconds(s.Max)}
}

func milliseconds(d time.Duration) float64 {
	return float64(d) / float64(time.Millisecond)
}
