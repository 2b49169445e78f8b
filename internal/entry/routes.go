// Package entry carries out callers' commands on graph jobs and answers their queries, on every daemon.
package entry

import (
	"strings"

	"laburnumpoint/internal/graph"
)

// Route leads requests to a queue.
type Route struct {
	Host string
	// Prefix is what the path begins with.
	Prefix string
	Queue  graph.Queue
}

// Limits bound what callers send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// Config is a version of the configuration. It is not changed once made.
type Config struct {
	Version uint64
	Routes  []Route
	Limits  Limits
}

// Match returns the route whose host is given and whose prefix is the longest that path begins with, and the rest of
// the path.
func (c *Config) Match(host, path string) (route *Route, rest string, ok bool) {
	for i := range c.Routes {
		candidate := &c.Routes[i]
		if candidate.Host != host || !strings.HasPrefix(path, candidate.Prefix) {
			continue
		}
		if route == nil || len(candidate.Prefix) > len(route.Prefix) {
			route = candidate
		}
	}
	if route == nil {
		return nil, "", false
	}
	return route, path[len(route.Prefix):], true
}

// Queue returns the policy of the queue with the given name.
func (c *Config) Queue(name string) (graph.Queue, bool) {
	for i := range c.Routes {
		if c.Routes[i].Queue.Name == name {
			return c.Routes[i].Queue, true
		}
	}
	return graph.Queue{}, false
}
