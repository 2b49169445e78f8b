// Command standin plays the review's script cases: it is the platform's store and runners, the operator and the clients, starts the
// system's processes with the deploy file's command, and judges what all of these have seen. Everything is on loopback addresses.
//
// Its exit code is 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. With TROUBLE=0 in the environment it leaves out
// the disruption.
package main

import (
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// finishTime is after what time jobs are asked for at the end.
const finishTime = 14 * time.Second

const (
	exitHeld   = 0
	exitBroken = 1
	exitUnable = 2
)

// cell is a small deployment: its platform, its machines and its clients.
type cell struct {
	record  *record
	store   *store
	runners []*runner
	daemons []*daemon
	clients *clients
	trouble bool
	dir     string
	broken  []string
}

// fail ends a case that can't run. The processes that it has started end with it.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	os.Exit(exitUnable)
}

func main() {
	name := flag.String("case", "", "name of the case")
	path := flag.String("record", "", "file to write the record to")
	keep := flag.Bool("keep", false, "keep the folder with the daemons' logs")
	flag.Parse()
	play, known := cases[*name]
	if !known || *path == "" {
		fail("usage: standin -case NAME -record FILE")
	}
	dir, err := os.MkdirTemp("", "laburnumpoint-review-")
	if err != nil {
		fail("%v", err)
	}
	c := &cell{record: newRecord(*path), trouble: os.Getenv("TROUBLE") != "0", dir: dir}
	play(c)
	for _, d := range c.daemons {
		d.stop()
		c.record.line("%s: peak %d MB, killed %d times for its memory, %d ends of its process in all", d.name, d.peakMB, d.memoryKills, d.exited)
	}
	for _, why := range c.broken {
		c.record.line("BROKEN %s", why)
		fmt.Println("BROKEN", why)
	}
	if len(c.broken) == 0 {
		c.record.line("held")
		fmt.Println("held")
	}
	c.record.close()
	if *keep {
		fmt.Println("logs:", dir)
	} else {
		_ = os.RemoveAll(dir)
	}
	if len(c.broken) > 0 {
		os.Exit(exitBroken)
	}
	os.Exit(exitHeld)
}

func (c *cell) breaks(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// start starts a cell with the given numbers of machines and runners, and waits until it can take jobs.
func (c *cell) start(machines, runners int) {
	c.store = newStore(c.record)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fail("store: %v", err)
	}
	go func() { _ = http.Serve(listener, c.store) }()
	c.store.put("op", "config", map[string]any{
		"version": 3,
		"routes": []map[string]any{{
			"name": "se99", "host": queueHost, "path_prefix": queuePrefix, "service": pool, "priority": 1, "attempts": 2,
			"stretch": 4.0, "target_latency_ms": 2500,
		}},
		"services": []map[string]any{{"name": pool, "rejects_overload": false}},
		"limits":   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144},
	})
	for n := range runners {
		c.runners = append(c.runners, newRunner(n+1, "127.0.0.1", c.store, c.record))
	}
	var ips []string
	for n := range machines {
		ips = append(ips, fmt.Sprintf("127.0.7.%d", n+1))
	}
	p := freePorts(ips)
	for n, ip := range ips {
		d := newDaemon(n+1, ip, p, listener.Addr().String(), c.dir, c.record)
		c.daemons = append(c.daemons, d)
		go d.run()
	}
	c.clients = &clients{record: c.record, daemons: c.daemons}
	c.await("all machines are ready", 20*time.Second, func() bool {
		for _, d := range c.daemons {
			if !d.isReady() {
				return false
			}
		}
		return true
	})
}

// await waits for a condition that has to hold for the case to run.
func (c *cell) await(what string, within time.Duration, holds func() bool) {
	for begin := time.Now(); !holds(); time.Sleep(20 * time.Millisecond) {
		if time.Since(begin) > within {
			for _, d := range c.daemons {
				d.stop()
			}
			c.record.line("could not run: not within %s: %s", within, what)
			c.record.close()
			fail("not within %s: %s (logs in %s)", within, what, filepath.Base(c.dir))
		}
	}
	c.record.line("%s", what)
}
