package bench

import (
	"fmt"
	"testing"
	"time"

	"laburnumpoint/internal/scheduler"
)

const (
	seed    = 1
	horizon = 6 * time.Hour
)

func TestReport(t *testing.T) {
	for _, l := range []struct {
		name   string
		load   *Load
		policy scheduler.Policy
	}{
		{"galwad", Galwad(seed, horizon), GalwadPolicy()},
		{"rimac", Rimac(seed, horizon), RimacPolicy()},
	} {
		fmt.Printf("%s first-fit\n%s", l.name, Run(NewFirstFit(), l.load))
		fmt.Printf("%s scheduler\n%s", l.name, Run(scheduler.New(l.policy), l.load))
	}
}
