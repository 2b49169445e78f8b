// Package entry serves callers of graph jobs on every daemon: it stores their commands and answers their queries.
package entry

import (
	"strings"

	"laburnumpoint/internal/access"
	"laburnumpoint/internal/graph"
)

// Route maps the requests of one host and path prefix to a queue.
type Route struct {
	Host string
	// Prefix is matched against the start of the request's path.
	Prefix string
	Queue  graph.Queue
	// Public means that the route's requests need no key.
	Public bool
}

// Limits bounds the size of a caller's request.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
}

// Config is one version of the configuration. It is immutable.
type Config struct {
	Version uint64
	// Document is the configuration as it is stored, for daemons that the store does not answer.
	Document []byte
	Routes   []Route
	Limits   Limits
	// Organisations are those that may hand in jobs.
	Organisations []graph.Organisation
	// Keys are the keys by which their callers are known.
	Keys access.Keys
}

// Match returns the route of host with the longest prefix of path, and the path after that prefix.
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

// Queue returns the policy of the named queue.
func (c *Config) Queue(name string) (graph.Queue, bool) {
	for i := range c.Routes {
		if c.Routes[i].Queue.Name == name {
			return c.Routes[i].Queue, true
		}
	}
	return graph.Queue{}, false
}
