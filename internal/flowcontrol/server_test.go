package flowcontrol

import (
	"context"
	"flag"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"
)

func init() {
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// Guards against one busy server that holds up calls to all others.
func TestCallsToABusyServerHoldUpNoOthers(t *testing.T) {
	g := NewGate(DefaultOptions())
	busy, idle := NewServer(), NewServer()
	for range 10 * DefaultMaxPerServer {
		g.Join(Urgent, busy)
	}
	if stats := g.Stats(); stats.UnderWay != DefaultMaxPerServer || stats.Waiting != 0 || stats.WaitingForServers != 9*DefaultMaxPerServer {
		t.Errorf("%d calls under way, %d wait for the gate and %d for their server, want %d, 0 and %d", stats.UnderWay, stats.Waiting, stats.WaitingForServers, DefaultMaxPerServer, 9*DefaultMaxPerServer)
	}
	if g.Join(Normal, idle).Waits() {
		t.Error("a call to an idle server waits")
	}
	if g.EnterRepeat(busy) {
		t.Error("a repeat takes a place that a first call waits for")
	}
}

// Guards against calls that are sent out of order: those that wait for their server go by class, and by arrival within one.
func TestCallsThatWaitForTheirServerGoInOrder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewGate(DefaultOptions())
		server := NewServer()
		for range DefaultMaxPerServer {
			g.Join(Normal, server)
		}
		var order []string
		for _, c := range []struct {
			name  string
			class Class
		}{{"start 1", Normal}, {"start 2", Normal}, {"gang", Urgent}, {"stop 1", Stop}, {"stop 2", Stop}} {
			call := g.Join(c.class, server)
			go func() {
				if call.Wait(t.Context()) == nil {
					order = append(order, c.name)
				}
			}()
		}
		for range len("12345") {
			g.Leave()
			g.LeaveServer(server)
			synctest.Wait()
		}
		if want := []string{"stop 1", "stop 2", "gang", "start 1", "start 2"}; !slices.Equal(order, want) {
			t.Errorf("admitted %v, want %v", order, want)
		}
	})
}

// Random calls come, are admitted, end and give up. The failures are calls beyond a bound, calls that wait although there is a place, and
// calls to a server that pass earlier ones of their class.
func TestPlacesOfServersAreKeptAndUsed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := testOptions()
		o.MaxUnderWay, o.MaxPerServer = 4, 2
		g := NewGate(o)
		servers := []*Server{NewServer(), NewServer(), NewServer()}
		gaveUp, cancel := context.WithDeadline(context.Background(), time.Unix(0, 0))
		defer cancel()
		var waiting, admitted []*Call
		gatePlaces := 0
		settle := func() {
			for i := 0; i < len(waiting); i++ {
				call := waiting[i]
				if call.Waits() {
					continue
				}
				for _, earlier := range waiting[:i] {
					if earlier.server == call.server && earlier.class <= call.class && earlier.Waits() {
						t.Fatalf("a call of class %d passes an earlier one of class %d to its server", call.class, earlier.class)
					}
				}
				waiting = slices.Delete(waiting, i, i+1)
				admitted = append(admitted, call)
				gatePlaces++
				i--
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"join": func(t *rapid.T) {
				class := Class(rapid.IntRange(0, int(classes)-1).Draw(t, "class"))
				server := rapid.SampledFrom(servers).Draw(t, "server")
				waiting = append(waiting, g.Join(class, server))
			},
			"leave gate": func(t *rapid.T) {
				if gatePlaces > 0 {
					gatePlaces--
					g.Leave()
				}
			},
			"leave server": func(t *rapid.T) {
				if len(admitted) > 0 {
					i := rapid.IntRange(0, len(admitted)-1).Draw(t, "call")
					g.LeaveServer(admitted[i].server)
					admitted = slices.Delete(admitted, i, i+1)
				}
			},
			"give up": func(t *rapid.T) {
				if len(waiting) > 0 {
					i := rapid.IntRange(0, len(waiting)-1).Draw(t, "call")
					if waiting[i].Wait(gaveUp) != nil {
						waiting = slices.Delete(waiting, i, i+1)
					}
				}
			},
			"": func(t *rapid.T) {
				settle()
				stats := g.Stats()
				if stats.UnderWay != gatePlaces || stats.UnderWay > stats.Bound || stats.Waiting+stats.WaitingForServers != len(waiting) {
					t.Fatalf("%d under way of %d, %d and %d waiting; want %d and %d in all", stats.UnderWay, stats.Bound, stats.Waiting, stats.WaitingForServers, gatePlaces, len(waiting))
				}
				for i, server := range servers {
					if server.underWay > o.MaxPerServer {
						t.Fatalf("%d calls under way to server %d, want %d at most", server.underWay, i, o.MaxPerServer)
					}
				}
				for _, call := range waiting {
					if stats.UnderWay < stats.Bound && call.server.underWay < o.MaxPerServer {
						t.Fatal("a call waits although the gate and its server have places")
					}
				}
			},
		})
	})
}
